// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond, until
	// it is known better.
	readRate = 50.0
	// anewPenalty makes reading a shared part anew dearer than the time it takes:
	// it takes the engine's time from others, too.
	anewPenalty = 3.0
	// missedAim is what it costs, in milliseconds, to miss the aim.
	missedAim = 2000.0
	// perMegabyte makes it dear to have results brought from another hall.
	perMegabyte = 12.0
	// perCall is what a call in progress adds to an engine's start of another,
	// in milliseconds.
	perCall = 1.0
	// failWeight is how many times its own time a failure costs.
	failWeight = 6.0
	// memoryShare is how much of an engine's memory running calls may take up, by
	// what is known of them, before it is avoided; the rest is for shared parts.
	memoryShare = 0.7
	// unknownPace is the pace of a target that has not answered yet.
	unknownPace = float64(20 * time.Millisecond)
)

// ReadTime is how long an engine that does nothing else takes to read tokens.
func ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// Tracker has the records of all targets' lives.
type Tracker struct {
	records sync.Map
	holders holderIndex
	rings   rings
}

// NewTracker makes an empty Tracker.
func NewTracker() *Tracker { return &Tracker{} }

func (b *Tracker) record(l hookhall.Life) *record {
	if a, ok := b.records.Load(l); ok {
		return a.(*record)
	}
	a, _ := b.records.LoadOrStore(l, &record{})
	return a.(*record)
}

// Keep forgets the records of lives that are over.
func (b *Tracker) Keep(current func(l hookhall.Life) bool, now time.Time) {
	b.records.Range(func(k, v any) bool {
		if !current(k.(hookhall.Life)) {
			b.records.Delete(k)
			return true
		}
		v.(*record).sweep(now)
		return true
	})
	b.holders.sweep(now)
}

// Wish is what a call wants of its target.
type Wish struct {
	// Engine is set when the target reads prompts.
	Engine bool
	// Shared is the id of the deepest shared part of the prompt, "" for none,
	// and SharedTokens how many tokens it has with all before it.
	Shared       string
	SharedTokens int
	OwnTokens    int
	// OutTokens is the most tokens that may come out.
	OutTokens int
	// Spec is what the operators tell of the engines, nil when they don't.
	Spec *hookhall.EngineSpec
	// Parts are all parts of the prompt, to be remembered.
	Parts []string
	// Slack is the time until the aim, 0 when it is past or not known.
	Slack time.Duration
	// Near has the bytes that the target reads, by hall.
	Near map[string]float64
	// Exclude are targets that were tried already.
	Exclude map[string]bool
	// Halls are where the target may stand; none means anywhere.
	Halls []string
	Versions
	// Cold tells how many requests in any second a cold target may get from this
	// process; nil leaves cold targets out.
	Cold func(target string) int
	// Limiter rations targets that name a rate limit; nil if none does.
	Limiter Limiter
}

// Limiter rations targets that name a rate limit.
type Limiter interface {
	// Due returns how long it takes until a target may get another request, 0 for now.
	Due(l hookhall.Life, now time.Time) time.Duration
	// Reserve takes the next request that a target may get, if it is due within maxWait,
	// and returns how long the request has to wait.
	Reserve(l hookhall.Life, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool)
}

// Choose picks the target with the earliest expected answer among targets, and
// tells the estimate. ok is false when none is left.
func (b *Tracker) Choose(targets []hookhall.Target, w Wish, now time.Time) (t hookhall.Target, ok bool) {
	for {
		t, ok = b.pick(targets, w, now)
		if !ok || b.take(t, w, now) {
			return t, ok
		}
		// Another request took its last place; now it is no candidate any more.
	}
}

// take counts a request to a target that gets a bounded number of them.
func (b *Tracker) take(t hookhall.Target, w Wish, now time.Time) bool {
	if t.Cold(now) && !b.record(t.Life()).takeCold(w.Cold(t.ID), now) {
		return false
	}
	if w.Limiter == nil {
		return true
	}
	_, ok := w.Limiter.Reserve(t.Life(), 0, now)
	return ok
}

// Next returns the target that may get a request first, and how long it takes until
// then, when Choose finds none because of rate limits. ok is false if no limited target
// may get the request at all.
func (b *Tracker) Next(targets []hookhall.Target, w Wish, now time.Time) (next hookhall.Target, wait time.Duration, ok bool) {
	if w.Limiter == nil {
		return hookhall.Target{}, 0, false
	}
	for _, t := range w.among(targets) {
		if t.Leaving || w.Exclude[t.ID] || !w.allows(t) || t.Cold(now) {
			continue
		}
		if due := w.Limiter.Due(t.Life(), now); due > 0 && (!ok || due < wait) {
			next, wait, ok = t, due, true
		}
	}
	return next, wait, ok
}

func (b *Tracker) pick(targets []hookhall.Target, w Wish, now time.Time) (t hookhall.Target, ok bool) {
	var open, full, ejected []candidate
	targets = w.among(targets)
	if len(targets) > scanMost {
		open, _, _ = b.candidates(b.sample(targets, w), w, now)
	}
	if len(open) == 0 {
		open, full, ejected = b.candidates(targets, w, now)
	}
	if len(open) == 0 {
		open = full // all that work refuse: their pauses say nothing any more
	}
	if len(open) == 0 {
		return soonest(ejected)
	}
	holder := b.holding(open, w, targets)
	best := math.Inf(1)
	for _, c := range open {
		if s := score(c.target, c.figures, w, holder(c)); s < best {
			t, best = c.target, s
		}
	}
	return t, true
}

// candidate is a target that may be chosen, with what is known of it.
type candidate struct {
	target hookhall.Target
	figures
}

// candidates are the targets that may be chosen: those that are open, those that
// refused a call a moment ago, and those that failed and are ejected for a pause.
func (b *Tracker) candidates(targets []hookhall.Target, w Wish, now time.Time) (open, full, ejected []candidate) {
	for _, t := range targets {
		if t.Leaving || w.Exclude[t.ID] || !w.allows(t) || !b.bears(t, w, now) {
			continue
		}
		c := candidate{t, b.record(t.Life()).figures(w.Shared, now)}
		switch {
		case c.until.After(now):
			ejected = append(ejected, c)
		case c.full.After(now):
			full = append(full, c)
		default:
			open = append(open, c)
		}
	}
	return open, full, ejected
}

// allows tells whether a target stands where the request may run, and has a version that
// may run it.
func (w *Wish) allows(t hookhall.Target) bool {
	return (len(w.Halls) == 0 || slices.Contains(w.Halls, t.Hall)) && w.Allow(t)
}

// bears tells whether a target may get another request now: one that is cold falls
// over under more than a few a second, and one may have named a limit itself.
func (b *Tracker) bears(t hookhall.Target, w Wish, now time.Time) bool {
	if w.Limiter != nil && w.Limiter.Due(t.Life(), now) > 0 {
		return false
	}
	if !t.Cold(now) {
		return true
	}
	return w.Cold != nil && b.record(t.Life()).coldRoom(w.Cold(t.ID), now)
}

// soonest is the candidate whose pause ends first.
func soonest(ejected []candidate) (t hookhall.Target, ok bool) {
	var until time.Time
	for _, c := range ejected {
		if !ok || c.until.Before(until) {
			t, until, ok = c.target, c.until, true
		}
	}
	return t, ok
}

// holding tells which candidates hold the wish's shared part: those that were
// sent it lately, or, when there are none, the first by rendezvous hashing, so
// that all processes send it to the same one. A target that is new and would be
// the first is no reason to read the part anew.
func (b *Tracker) holding(open []candidate, w Wish, targets []hookhall.Target) func(candidate) bool {
	for _, c := range open {
		if c.holds {
			return func(c candidate) bool { return c.holds }
		}
	}
	first := ""
	if w.Engine && w.Shared != "" {
		first = b.First(w.Shared, targets)
	}
	return func(c candidate) bool { return c.target.ID == first }
}

// score is the expected time to the answer in milliseconds, with a little
// chance so that processes don't all choose alike.
func score(t hookhall.Target, f figures, w Wish, holds bool) float64 {
	chance := rand.Float64()
	if !w.Engine {
		pace := f.pace
		if pace == 0 {
			pace = unknownPace
		}
		load := float64(f.inflight+1) / float64(max(t.Slots, 1))
		return (pace/1e6)*(1+load)*(1+failWeight*f.failRate) + chance
	}
	ms := float64(f.unread)/readRate + float64(f.inflight)*perCall
	read := float64(w.OwnTokens) / readRate
	if w.Shared != "" && !holds {
		read += float64(w.SharedTokens) / readRate
		ms += anewPenalty * float64(w.SharedTokens) / readRate
	}
	ms += read + crowd(f, w)
	if w.Slack > 0 && float64(f.unread)/readRate+read > w.Slack.Seconds()*1e3 {
		ms += missedAim
	}
	for hall, bytes := range w.Near {
		if hall != t.Hall {
			ms += perMegabyte * bytes / 1e6
		}
	}
	return ms*(1+failWeight*f.failRate) + chance
}

// crowd is what it costs, in milliseconds, to go where places or memory run out:
// the engine would hold the call back, or put another one back and read it anew.
func crowd(f figures, w Wish) float64 {
	if w.Spec == nil {
		return 0
	}
	ms := 0.0
	if w.Spec.Slots > 0 && f.inflight >= w.Spec.Slots {
		ms += missedAim
	}
	over := float64(f.held+w.OwnTokens+w.OutTokens) - memoryShare*float64(w.Spec.Memory)
	if w.Spec.Memory > 0 && over > 0 {
		ms += missedAim + over/readRate
	}
	return ms
}

// First is the first of targets for a key, leaving ones left out: by rendezvous hashing
// over all, or over a part of the ring of a large service.
func (b *Tracker) First(key string, targets []hookhall.Target) string {
	if len(targets) > scanMost {
		return b.rings.of(targets).first(key)
	}
	return First(key, targets)
}

// First is the first of targets by rendezvous hashing of a key, leaving ones
// left out.
func First(key string, targets []hookhall.Target) string {
	best, top := "", uint64(0)
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		h := xxhash.Sum64String(key + "\x00" + t.ID)
		if best == "" || h > top {
			best, top = t.ID, h
		}
	}
	return best
}

// Use is one call in progress at a target.
type Use struct {
	record *record
	unread int
	held   int
	began  time.Time
	read   bool
	over   bool
}

// Begin counts a call to t.
func (b *Tracker) Begin(t hookhall.Target, w Wish, now time.Time) *Use {
	a := b.record(t.Life())
	u := &Use{record: a, began: now}
	if w.Engine {
		u.unread = w.OwnTokens
		u.held = w.OwnTokens + w.OutTokens
		if !a.figures(w.Shared, now).holds {
			u.unread += w.SharedTokens
		}
	}
	a.begin(u.unread, u.held, w.Parts, now)
	if w.Engine {
		b.holders.note(w.Shared, t.ID, now)
	}
	return u
}

// Read counts the prompt as read: the answer has begun.
func (u *Use) Read() {
	if !u.read {
		u.read = true
		u.record.read(u.unread)
	}
}

// End counts the call's end. It may be called again without effect.
func (u *Use) End() {
	u.Read()
	if !u.over {
		u.over = true
		u.record.end(u.held)
	}
}

// Succeeded counts an answer whose head came after took.
func (u *Use) Succeeded(took time.Duration) { u.record.succeeded(took) }

// Failed counts a failure; hard tells that the target could not be reached or
// was silent, which no call can be to blame for.
func (u *Use) Failed(hard bool, now time.Time) { u.record.failed(hard, now) }

// Refused counts the target's word that it had no place for the call.
func (u *Use) Refused(now time.Time) { u.record.refused(now) }

// Status is a target's part of a state dump.
type Status struct {
	Inflight int
	Unread   int
	PaceMS   float64
	FailRate float64
	Ejected  bool
	Full     bool
}

// Status reads a target's record.
func (b *Tracker) Status(l hookhall.Life, now time.Time) Status {
	f := b.record(l).figures("", now)
	return Status{f.inflight, f.unread, f.pace / 1e6, f.failRate, f.until.After(now), f.full.After(now)}
}
