// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minSampleTokens is the smallest prompt whose reading time is used: set-up, transfer
	// and the reports take longer than reading a smaller one.
	minSampleTokens = 500
	// maxOverlap is the largest number of tokens of other prompts that the engine may
	// read meanwhile, as a share of the prompt's own.
	maxOverlap = 0.125
	// paceHalfLife is the time in which a learned pace gets half-way to the median while
	// there are no samples: a slow engine gets few prompts, and must be tried again.
	paceHalfLife = 30 * time.Second
	// maxSampleWeight limits the tokens of earlier samples, so that a change of the pace
	// is learned from a few prompts.
	maxSampleWeight = 40000.0
	// paceSpread is the expected deviation of engines from the median, as a share of it.
	// readDeviation and fixedDeviationMS are those of the samples: the time for 8,000 tokens
	// deviates by 15 %, and the fixed part by 5 ms. They determine how much an engine's own
	// samples count against the median: a few short prompts say little.
	paceSpread       = 0.35
	readDeviation    = 8000 * 0.15 * 0.15
	fixedDeviationMS = 5.0
	// startFixedMS is the assumed fixed part of the time until an answer begins, for
	// set-up and for fetching results. fixedWeight is the weight of the latest estimate in
	// the next one: that of four prompts of 2,000 tokens. maxFixedMS bounds the estimate.
	startFixedMS = 20.0
	fixedWeight  = 4.0 / 2000
	maxFixedMS   = 150.0
	// maxSlowness limits a sample, as a multiple of the time expected by the median pace:
	// an engine that paused or had dropped a cached part would look slow for long. It also
	// limits a pace, as a multiple of the median: an engine that has cached prompts of which this
	// process does not know would look fast without limit, and get most shared parts.
	maxSlowness = 4.0
	// weightSteps is the number of steps of a weight per median pace, and weightHysteresis
	// how many steps a pace must differ from its weight to change it: a weight moves keys, so
	// it must not change with each sample.
	weightSteps      = 4
	weightHysteresis = 0.75
	// unevenFrom and evenBelow are the deviations from the median, as a share of it, from which
	// on an engine counts as deviating, and below which it no longer does.
	unevenFrom = 0.25
	evenBelow  = 0.2
	// minDeviating and minDeviatingDivisor are the number, and the divisor of the number of
	// engines with samples, from which on deviating engines make the paces of a service uneven:
	// single ones deviate by noise. With an error of 15 % one of 140 engines deviated in 15 of
	// 40 refreshes.
	minDeviating        = 2
	minDeviatingDivisor = 10
	// paceRefreshInterval is the interval at which paces are derived from the samples of up to
	// enginesPerInterval engines. With more engines it is longer, up to maxRefreshInterval: for
	// 10,000 engines this takes 7 to 9 ms.
	paceRefreshInterval = 500 * time.Millisecond
	maxRefreshInterval  = 2 * time.Second
	enginesPerInterval  = 2000
)

// readings sums up samples of reading times of one incarnation of an engine. A prompt of n
// tokens is expected to take fixed + n/pace ms. The deviations grow with n, so that each
// sample has the weight 1/n in the least-squares estimate of the pace and the fixed part:
// the pace is then the total number of tokens by the total time without the fixed parts.
type readings struct {
	calls      float64 // number of samples
	tokens     float64 // sum of n
	ms         float64 // sum of the times
	perToken   float64 // sum of 1/n
	msPerToken float64 // sum of time/n
	latest     time.Time
}

// scale multiplies the weight of all samples by factor.
func (r *readings) scale(factor float64) {
	r.calls *= factor
	r.tokens *= factor
	r.ms *= factor
	r.perToken *= factor
	r.msPerToken *= factor
}

// add adds the sample of a prompt that was read within ms.
func (r *readings) add(tokens, ms float64, now time.Time) {
	if r.calls > 0 {
		r.scale(remaining(now.Sub(r.latest)))
	}
	if room := max(maxSampleWeight-tokens, 0); r.tokens > room {
		r.scale(room / r.tokens)
	}
	r.calls++
	r.tokens += tokens
	r.ms += ms
	r.perToken += 1 / tokens
	r.msPerToken += ms / tokens
	r.latest = now
}

// remaining returns the factor by which the weight of a sample falls within age.
func remaining(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / paceHalfLife.Seconds())
}

// slowness returns the ms per token, given the fixed part of each time.
func (r *readings) slowness(fixedMS float64) float64 {
	return max(r.ms-fixedMS*r.calls, 0) / r.tokens
}

// PoolPace is what is known about the paces of the engines of one service.
type PoolPace struct {
	Median  float64 `json:"median"`   // tokens per ms; tokensPerMillisecond before the first sample
	Slowest float64 `json:"slowest"`  // lowest pace of an engine with samples
	FixedMS float64 `json:"fixed_ms"` // fixed part of the time until an answer begins
	Learned int     `json:"learned"`  // number of engines with samples
	// IsUneven is set if the paces of so many engines deviate so much that choices use them.
	IsUneven bool `json:"uneven"`
}

// EnginePace is what was learned about the pace of one incarnation of an engine.
type EnginePace struct {
	TokensPerMS float64 `json:"tokens_per_ms"`
	// Weight is the share of shared parts that the engine gets while paces are uneven, in
	// quarters of the share of an engine of median pace.
	Weight int32 `json:"weight"`
}

// EnginePace returns the pace of an incarnation of an engine. ok is false if this process has
// learned none.
func (b *Tracker) EnginePace(incarnation hookhall.Incarnation) (p EnginePace, ok bool) {
	v, ok := b.records.Load(incarnation)
	if !ok {
		return EnginePace{}, false
	}
	r := v.(*record)
	r.mu.Lock()
	defer r.mu.Unlock()
	return EnginePace{r.pace, r.currentWeight()}, r.pace > 0
}

// PoolPaces returns what is known about the paces of each service with samples. The result must
// not be changed.
func (b *Tracker) PoolPaces() map[string]PoolPace {
	if paces := b.paces.Load(); paces != nil {
		return *paces
	}
	return nil
}

// startPace is the PoolPace of a service without samples.
var startPace = PoolPace{Median: tokensPerMillisecond, Slowest: tokensPerMillisecond, FixedMS: startFixedMS}

// poolPace returns what is known about the paces of a service.
func (b *Tracker) poolPace(pool string) PoolPace {
	if p, ok := b.PoolPaces()[pool]; ok {
		return p
	}
	return startPace
}

// fixedPart returns the common fixed part of the times: the least-squares estimate with a
// pace per engine, weighed against the latest estimate.
func fixedPart(all []*readings, latest float64) float64 {
	sum, weight := latest*fixedWeight, fixedWeight
	for _, r := range all {
		sum += r.msPerToken - r.calls*r.ms/r.tokens
		weight += r.perToken - r.calls*r.calls/r.tokens
	}
	return min(max(sum/weight, 0), maxFixedMS)
}

// learnPaces returns the PoolPace of a service, given the latest one, and the pace of each of
// its engines with samples.
func learnPaces(all []*readings, latest PoolPace, now time.Time) (PoolPace, []float64) {
	pool := PoolPace{FixedMS: fixedPart(all, latest.FixedMS), Learned: len(all)}
	slowness := make([]float64, len(all))
	for i, r := range all {
		slowness[i] = r.slowness(pool.FixedMS)
	}
	sorted := slices.Sorted(slices.Values(slowness))
	median := (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
	if median <= 0 {
		return startPace, nil
	}
	pool.Median = 1 / median
	paces := make([]float64, len(all))
	for i, r := range all {
		limited := max(slowness[i], median/maxSlowness)
		learned := 1 / (median + (limited-median)*r.confidence(median))
		paces[i] = pool.Median + (learned-pool.Median)*remaining(now.Sub(r.latest))
	}
	pool.Slowest = slices.Min(paces)
	limit := unevenFrom
	if latest.IsUneven {
		limit = evenBelow
	}
	deviating := 0
	for _, pace := range paces {
		if math.Abs(pace/pool.Median-1) > limit {
			deviating++
		}
	}
	pool.IsUneven = deviating >= max(minDeviating, len(paces)/minDeviatingDivisor)
	return pool, paces
}

// confidence returns the weight, from 0 to 1, of the slowness against the median of the
// service: the part of the expected deviation that is not due to errors.
func (r *readings) confidence(median float64) float64 {
	fixedError := fixedDeviationMS * r.calls / r.tokens / median
	return paceSpread * paceSpread / (paceSpread*paceSpread + readDeviation/r.tokens + fixedError*fixedError)
}

// refreshPaces derives the paces of all engines from their samples, unless this was done
// less than an interval ago. Choices read the results only.
func (b *Tracker) refreshPaces(now time.Time) {
	if !b.refreshMu.TryLock() {
		return // another goroutine does it
	}
	defer b.refreshMu.Unlock()
	if now.Before(b.refreshDue) {
		return
	}
	type engines struct {
		records  []*record
		readings []*readings
	}
	byPool := map[string]*engines{}
	b.records.Range(func(_, v any) bool {
		r := v.(*record)
		pool, samples := r.samples(now)
		if samples == nil {
			return true
		}
		if byPool[pool] == nil {
			byPool[pool] = &engines{}
		}
		byPool[pool].records = append(byPool[pool].records, r)
		byPool[pool].readings = append(byPool[pool].readings, samples)
		return true
	})
	paces, learned := map[string]PoolPace{}, 0
	for pool, e := range byPool {
		learned += len(e.records)
		p, paceByIndex := learnPaces(e.readings, b.poolPace(pool), now)
		paces[pool] = p
		for i, pace := range paceByIndex {
			e.records[i].setPace(pace, p.Median)
		}
	}
	b.paces.Store(&paces)
	interval := paceRefreshInterval * time.Duration(1+learned/enginesPerInterval)
	b.refreshDue = now.Add(min(interval, maxRefreshInterval))
}

// samples returns the pool of the record and a copy of its samples, nil if it has none. It
// drops samples whose weight is below a thousandth.
func (r *record) samples(now time.Time) (pool string, samples *readings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readings.calls == 0 {
		return r.pool, nil
	}
	if now.Sub(r.readings.latest) > 10*paceHalfLife {
		r.readings, r.pace = readings{}, 0
		r.weight.Store(0)
		return r.pool, nil
	}
	samples = new(readings)
	*samples = r.readings
	return r.pool, samples
}

// setPace records the pace and the weight that results from it.
func (r *record) setPace(pace, median float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pace = pace
	steps := weightSteps * pace / median
	if math.Abs(steps-float64(r.currentWeight())) > weightHysteresis {
		r.weight.Store(int32(max(math.Round(steps), 1)))
	}
}

// currentWeight returns the weight of the target for shared parts: its pace in steps of a
// quarter of the median. It does not lock r.mu.
func (r *record) currentWeight() int32 {
	if w := r.weight.Load(); w > 0 {
		return w
	}
	return weightSteps
}

// addSample adds the sample of a call whose answer began took after it was sent, unless the
// engine read more than a few tokens of other prompts meanwhile.
func (r *record) addSample(c *ActiveCall, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := float64(c.unreadTokens)
	if float64(c.overlap)+float64(r.tokensBegun-c.tokensBegun) > maxOverlap*tokens {
		return
	}
	longest := maxFixedMS + maxSlowness*tokens/c.tracker.poolPace(r.pool).Median
	r.readings.add(tokens, min(took.Seconds()*1e3, longest), now)
}
