// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"context"
)

// Arrival is a planned request.
type Arrival struct {
	Offset         time.Duration // since the start of the load
	Kind           Kind
	Tag            string // unique within a plan; the last word of the input
	IdempotencyKey string // empty for repeatable kinds
	// EntryIndex is the index of the entry that it is sent to, from 0 to
	// Plan.EntryCount - 1.
	EntryIndex int
}

// Plan describes a load from which arrivals are drawn.
type Plan struct {
	Profile    Profile
	Rate       float64 // requests per second, averaged over the load, without the flood
	Duration   time.Duration
	Seed       uint64
	EntryCount int // arrivals are spread over the entries at random
	// BurstFactor, if above 1, is the factor on the average rate in the first tenth
	// of each second. The rate in the rest of the second is lowered to keep the
	// average, as far as rateFactor allows.
	BurstFactor float64
	// FloodAccount names an account, if any, whose kinds have their weight multiplied
	// by FloodFactor. The additional requests are not part of Rate.
	FloodAccount string
	FloodFactor  float64
}

// Draw returns the arrivals in order of time, as a Poisson process. The result depends on
// the plan alone, so that variants of the software can be compared on the same load.
func (p Plan) Draw() []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, 0x68616c6c))
	kinds, total := p.weightedKinds()
	rate := p.Rate
	if p.FloodAccount != "" {
		_, weightWithoutFlood := Plan{Profile: p.Profile}.weightedKinds()
		rate *= total / weightWithoutFlood // the flood is additional load
	}
	var arrivals []Arrival
	for seconds := 0.0; ; {
		seconds += random.ExpFloat64() / (rate * p.rateFactor(seconds))
		offset := time.Duration(seconds * float64(time.Second))
		if offset >= p.Duration {
			return arrivals
		}
		kind := pickKind(kinds, random.Float64()*total)
		arrival := Arrival{Offset: offset, Kind: kind, Tag: fmt.Sprintf("t%x-%d", p.Seed, len(arrivals)), EntryIndex: random.IntN(max(p.EntryCount, 1))}
		if !kind.Repeatable {
			arrival.IdempotencyKey = "k-" + arrival.Tag
		}
		arrivals = append(arrivals, arrival)
	}
}

// rateFactor returns the rate at a moment, in seconds since the start, relative to the
// average. Between bursts it is at least 0.05, so that a burst factor of 10 or more does
// not stop the load.
func (p Plan) rateFactor(seconds float64) float64 {
	if p.BurstFactor <= 1 {
		return 1
	}
	const period, burstShare = 1.0, 0.1
	if phase := seconds - float64(int(seconds/period))*period; phase < burstShare {
		return p.BurstFactor
	}
	return max((1-burstShare*p.BurstFactor)/(1-burstShare), 0.05)
}

// weightedKinds returns a copy of the kinds in which the weights of FloodAccount are
// multiplied by FloodFactor, and the sum of all weights.
func (p Plan) weightedKinds() ([]Kind, float64) {
	kinds := append([]Kind(nil), p.Profile.Kinds...)
	total := 0.0
	for i := range kinds {
		if kinds[i].Account == p.FloodAccount {
			kinds[i].Weight *= p.FloodFactor
		}
		total += kinds[i].Weight
	}
	return kinds, total
}

// pickKind returns the kind whose interval of weight contains x, which is from 0 to the sum
// of the weights.
func pickKind(kinds []Kind, x float64) Kind {
	for _, k := range kinds {
		if x < k.Weight {
			return k
		}
		x -= k.Weight
	}
	return kinds[len(kinds)-1]
}

// Run sends every arrival to its entry when it is due, without waiting for earlier
// answers, and returns the outcomes in the order of the arrivals once all have ended.
// If ctx ends, the remaining arrivals are not sent and have no outcome. progress, if set,
// is called at most once per second with the numbers of requests sent and ended.
func Run(ctx context.Context, c *Client, entries []string, p Profile, arrivals []Arrival, progress func(sent, ended int)) []*Outcome {
	keys := map[string]string{}
	for _, account := range p.Accounts {
		keys[account.Name] = account.Key()
	}
	outcomes := make([]*Outcome, len(arrivals))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	began, lastProgress := time.Now(), time.Now()
	for i, arrival := range arrivals {
		timer := time.NewTimer(arrival.Offset - time.Since(began))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			wg.Wait()
			return outcomes[:i]
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcome := c.Send(context.WithoutCancel(ctx), entries[arrival.EntryIndex%len(entries)], keys[arrival.Kind.Account], arrival.Kind, arrival.Tag, arrival.IdempotencyKey)
			mu.Lock()
			outcomes[i] = outcome
			ended++
			mu.Unlock()
		}()
		if progress != nil && time.Since(lastProgress) >= time.Second {
			lastProgress = time.Now()
			mu.Lock()
			progress(i+1, ended)
			mu.Unlock()
		}
	}
	wg.Wait()
	return outcomes
}
