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

// Arrival is one request to come.
type Arrival struct {
	At   time.Duration
	Kind Kind
	Tag  string
	Key  string
	// Entry is the number of the entry it goes to.
	Entry int
}

// Plan draws arrivals.
type Plan struct {
	Profile  Profile
	Rate     float64 // requests a second on average
	Duration time.Duration
	Seed     uint64
	Entries  int
	// Burst, if above 1, makes each tenth second carry this many times the
	// average, and the others less.
	Burst float64
	// Flood multiplies the weight of one account's kinds.
	Flood      string
	FloodTimes float64
}

// Draw returns the arrivals in order of time. The same plan gives the same.
func (p Plan) Draw() []Arrival {
	r := rand.New(rand.NewPCG(p.Seed, 0x68616c6c))
	kinds, total := p.weights()
	rate := p.Rate
	if p.Flood != "" {
		_, plain := Plan{Profile: p.Profile}.weights()
		rate *= total / plain // the flood comes on top
	}
	var list []Arrival
	for at := 0.0; ; {
		at += r.ExpFloat64() / (rate * p.factor(at))
		d := time.Duration(at * float64(time.Second))
		if d >= p.Duration {
			return list
		}
		k := pick(kinds, r.Float64()*total)
		a := Arrival{At: d, Kind: k, Tag: fmt.Sprintf("t%x-%d", p.Seed, len(list)), Entry: r.IntN(max(p.Entries, 1))}
		if !k.Repeatable {
			a.Key = "k-" + a.Tag
		}
		list = append(list, a)
	}
}

// factor is the rate at a moment against the average.
func (p Plan) factor(at float64) float64 {
	if p.Burst <= 1 {
		return 1
	}
	const period, part = 1.0, 0.1
	if phase := at - float64(int(at/period))*period; phase < part {
		return p.Burst
	}
	return max((1-part*p.Burst)/(1-part), 0.05)
}

func (p Plan) weights() ([]Kind, float64) {
	kinds := append([]Kind(nil), p.Profile.Kinds...)
	total := 0.0
	for i := range kinds {
		if kinds[i].Account == p.Flood {
			kinds[i].Weight *= p.FloodTimes
		}
		total += kinds[i].Weight
	}
	return kinds, total
}

func pick(kinds []Kind, x float64) Kind {
	for _, k := range kinds {
		if x < k.Weight {
			return k
		}
		x -= k.Weight
	}
	return kinds[len(kinds)-1]
}

// Run sends arrivals to entries when their time comes and waits for all
// outcomes. progress, if set, is called once a second.
func Run(ctx context.Context, c *Client, entries []string, p Profile, list []Arrival, progress func(sent, ended int)) []*Outcome {
	keys := map[string]string{}
	for _, a := range p.Accounts {
		keys[a.Name] = a.Key()
	}
	outcomes := make([]*Outcome, len(list))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	began, told := time.Now(), time.Now()
	for i, a := range list {
		timer := time.NewTimer(a.At - time.Since(began))
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
			o := c.Send(context.WithoutCancel(ctx), entries[a.Entry%len(entries)], keys[a.Kind.Account], a.Kind, a.Tag, a.Key)
			mu.Lock()
			outcomes[i] = o
			ended++
			mu.Unlock()
		}()
		if progress != nil && time.Since(told) >= time.Second {
			told = time.Now()
			mu.Lock()
			progress(i+1, ended)
			mu.Unlock()
		}
	}
	wg.Wait()
	return outcomes
}
