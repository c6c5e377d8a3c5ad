// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// tokensPerMillisecond is the assumed rate at which an engine reads prompt tokens until
	// that of its service is learned.
	tokensPerMillisecond = 50.0
	// maxPauseTokens is how many prompt tokens an engine reads at most between two events of
	// a running stream: it reads a chunk of about 2,000 tokens per output token, and an event
	// has some ten tokens.
	maxPauseTokens = 20000
	// delayCostFactor is the cost of delaying a running stream as a multiple of the delay: a
	// delay within the limit for pauses costs its caller little, but adds up with others.
	delayCostFactor = 0.05
	// rereadPenalty is added to the cost of reading a shared part again, as a multiple
	// of the reading time: reading it also delays the engine's other calls.
	rereadPenalty = 3.0
	// overloadCost is the cost, in milliseconds, of missing the latency target, or of
	// an engine whose slots or memory are exhausted.
	overloadCost = 2000.0
	// costPerRemoteMegabyte is the cost, in milliseconds, of each megabyte of results
	// transferred from another hall.
	costPerRemoteMegabyte = 12.0
	// costPerCall is the delay, in milliseconds, that each call in progress adds to
	// the start of another call at an engine.
	costPerCall = 1.0
	// failureCostFactor is the cost of a failure as a multiple of the time of the call.
	failureCostFactor = 6.0
	// maxMemoryFraction is the part of an engine's memory that running calls may use,
	// as far as this process knows them, before the engine is avoided. The rest is
	// for cached shared parts.
	maxMemoryFraction = 0.7
	// minSlowdownFactor and maxSlowdownFactor bound the effect of a target's report of its
	// slowdown on the latency that is expected of it.
	minSlowdownFactor = 0.5
	maxSlowdownFactor = 2.0
	// defaultLatency is the latency, in nanoseconds, assumed of targets if none has answered yet.
	defaultLatency = float64(20 * time.Millisecond)
)

// PromptReadTime returns how long an otherwise idle engine takes to read prompt tokens.
func PromptReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMillisecond * float64(time.Millisecond))
}

// Tracker holds the records of all targets, one per incarnation, and chooses among
// targets. Its methods may be called concurrently.
type Tracker struct {
	records sync.Map // hookhall.Incarnation to *record
	holders holderIndex
	views   sync.Map // pool name to the *view of its latest list
	// pruneCount is the number of prunes that removed a record. Views made before the
	// last of them may refer to removed records.
	pruneCount atomic.Uint64

	// spareCandidates is for reuse by the next choice: its size is proportional to the number
	// of targets compared.
	spareCandidates atomic.Pointer[candidates]

	paces      atomic.Pointer[map[string]PoolPace] // by pool; nil before the first sample
	refreshMu  sync.Mutex                          // guards refreshDue
	refreshDue time.Time                           // when paces is to be derived again
	// avoidedPauses is the number of choices that would have made a stream pause for too
	// long without the cost of that.
	avoidedPauses atomic.Int64
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{} }

// record returns the record of an incarnation and creates it if necessary.
func (b *Tracker) record(incarnation hookhall.Incarnation) *record {
	if r, ok := b.records.Load(incarnation); ok {
		return r.(*record)
	}
	r, _ := b.records.LoadOrStore(incarnation, &record{incarnation: incarnation})
	return r.(*record)
}

// Prune removes the records of incarnations for which isCurrent returns false, and from
// the others the prompt parts that are presumably no longer cached.
func (b *Tracker) Prune(isCurrent func(incarnation hookhall.Incarnation) bool, now time.Time) {
	isRemoved := false
	b.records.Range(func(k, v any) bool {
		if !isCurrent(k.(hookhall.Incarnation)) {
			b.records.Delete(k)
			isRemoved = true
			return true
		}
		v.(*record).sweep(now)
		return true
	})
	if isRemoved {
		b.pruneCount.Add(1)
	}
	b.holders.sweep(now)
	b.refreshPaces(now)
}

// Criteria describes a call and the conditions that its target must meet.
type Criteria struct {
	// IsEngineCall is set for calls to model engines, which read prompts.
	IsEngineCall bool
	// SharedPart is the ID of the longest part of the prompt that other prompts share,
	// "" for none.
	SharedPart string
	// SharedTokens is the number of prompt tokens up to the end of the shared part,
	// OwnTokens that of the tokens after it.
	SharedTokens int
	OwnTokens    int
	// MaxOutputTokens is the maximum number of output tokens.
	MaxOutputTokens int
	// EngineSpec is the configured capacity of the engines, nil if not configured.
	EngineSpec *hookhall.EngineSpec
	// Parts are the IDs of all parts of the prompt; the target is recorded as caching
	// them.
	Parts []string
	// LatencyBudget is the time left until the latency target, 0 if it has passed or is
	// not known.
	LatencyBudget time.Duration
	// MaxEventGap is the longest pause between two events that the streams at the engines
	// allow, 0 if none is set.
	MaxEventGap time.Duration
	// BytesByHall holds the number of bytes that the target reads, by the hall that has them.
	BytesByHall map[string]float64
	// ExcludedTargets holds the IDs of targets that were already tried.
	ExcludedTargets map[string]bool
	// Halls lists the halls in which the target may be; empty allows all.
	Halls []string
	// Versions restricts the versions of the target's software.
	Versions
	// MaxColdRequests returns how many requests in any second a cold target may get from
	// this process, by the target's ID; nil excludes cold targets.
	MaxColdRequests func(target string) int
	// Limiter enforces the rate limits that targets have announced; nil enforces none.
	Limiter Limiter
	// Rooms bounds the calls in progress at targets that can't reject any; nil bounds none.
	Rooms Rooms
}

// Rooms bounds how many calls targets hold. Its methods must be safe for concurrent use.
type Rooms interface {
	// Room returns how many calls a target with the given number of slots may hold, and false if
	// it has no bound. slots is 0 if it is not known.
	Room(t *hookhall.Target, slots int, now time.Time) (room int, isBounded bool)
}

// hasRoom reports whether a target with inflight calls in progress may get another one.
func (c *Criteria) hasRoom(t *hookhall.Target, inflight int, now time.Time) bool {
	if c.Rooms == nil {
		return true
	}
	slots := t.Slots
	if slots <= 0 && c.EngineSpec != nil {
		slots = c.EngineSpec.Slots
	}
	room, isBounded := c.Rooms.Room(t, slots, now)
	return !isBounded || inflight < room
}

// ExpectedRelease returns the expected time until one of the targets ends a call, as far as this
// process knows their latencies.
func (b *Tracker) ExpectedRelease(targets []hookhall.Target, now time.Time) time.Duration {
	rate := 0.0 // calls that end, per nanosecond
	for i := range targets {
		s := b.record(targets[i].Incarnation()).snapshot("", now)
		latency := s.avgLatency
		if latency == 0 {
			latency = defaultLatency
		}
		rate += float64(max(targets[i].Slots, 1)) / latency
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(1 / rate)
}

// Limiter enforces the rate limits that targets announce. Its methods must be safe for
// concurrent use.
type Limiter interface {
	// Due returns the time until an incarnation of a target may get another request, 0 for
	// now.
	Due(incarnation hookhall.Incarnation, now time.Time) time.Duration
	// Reserve counts a request to an incarnation of a target if it is due within maxWait.
	// It returns how long the request has to wait, and whether it was counted.
	Reserve(incarnation hookhall.Incarnation, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool)
}

// reserve counts a request against the limits of a cold or rate-limited target. It
// returns false if no request is left.
func (b *Tracker) reserve(t *hookhall.Target, criteria *Criteria, now time.Time) bool {
	if t.Cold(now) && !b.record(t.Incarnation()).reserveCold(criteria.MaxColdRequests(t.ID), now) {
		return false
	}
	if criteria.Limiter == nil {
		return true
	}
	_, ok := criteria.Limiter.Reserve(t.Incarnation(), 0, now)
	return ok
}

// NextLimited returns the rate-limited target that may get a request first and the time
// until then, for use when Choose finds no target because of rate limits. ok is false if
// no limited target may get the request at all.
func (b *Tracker) NextLimited(targets []hookhall.Target, criteria Criteria, now time.Time) (next hookhall.Target, wait time.Duration, ok bool) {
	if criteria.Limiter == nil {
		return hookhall.Target{}, 0, false
	}
	for _, t := range criteria.selectTargets(targets) {
		if t.Leaving || criteria.ExcludedTargets[t.ID] || !criteria.allows(&t) || t.Cold(now) {
			continue
		}
		if due := criteria.Limiter.Due(t.Incarnation(), now); due > 0 && (!ok || due < wait) {
			next, wait, ok = t, due, true
		}
	}
	return next, wait, ok
}

// expectedCost returns the expected time to the answer with penalties, in milliseconds.
// jitter, a random part below 1 ms, keeps processes from all choosing the same target.
// pauseCost is the additional cost of pauses in streams that are too long. becomesHolder is set
// if the engine is the next holder of the shared part: reading it there is no waste. Delays of
// running streams count only if isUneven is set.
func expectedCost(t *hookhall.Target, s *snapshot, criteria *Criteria, becomesHolder, isUneven bool, jitter float64) (cost, pauseCost float64) {
	if !criteria.IsEngineCall {
		latency := s.nextLatency
		if s.slowdown > 0 {
			// Many gateways read the same report: it must not move all their calls.
			latency *= min(max(s.slowdown, minSlowdownFactor), maxSlowdownFactor)
		}
		load := float64(s.inflight+1) / float64(max(t.Slots, 1))
		return (latency/1e6)*(1+load)*(1+failureCostFactor*s.failureRate) + jitter, 0
	}
	cost = float64(s.unreadTokens)/s.pace + float64(s.inflight)*costPerCall
	tokens := criteria.OwnTokens
	if criteria.SharedPart != "" && !s.holdsPart {
		tokens += criteria.SharedTokens
	}
	if criteria.SharedPart != "" && !s.holdsPart && !becomesHolder {
		cost += rereadPenalty * float64(criteria.SharedTokens) / s.pace
	}
	readTime := float64(tokens) / s.pace
	cost += readTime + overload(s, criteria)
	if s.missesObjective(tokens, criteria) {
		cost += overloadCost
	}
	for hall, bytes := range criteria.BytesByHall {
		if hall != t.Hall {
			cost += costPerRemoteMegabyte * bytes / 1e6
		}
	}
	failureFactor := 1 + failureCostFactor*s.failureRate
	if isUneven && criteria.MaxEventGap > 0 {
		cost += delayCostFactor * readTime * float64(s.inflight-s.reading)
		pauseCost = overloadCost * float64(s.pausedStreams(tokens, criteria.MaxEventGap.Seconds()*1e3)) * failureFactor
	}
	return cost*failureFactor + jitter, pauseCost
}

// pausedStreams returns how many streams would pause for more than limit, in milliseconds,
// because of a call with a prompt of the given unread tokens: those that run while the engine
// reads it, and the new one itself if the engine still has much to read for others.
func (s *snapshot) pausedStreams(tokens int, limit float64) int {
	paused := 0
	if float64(min(s.unreadTokens+tokens, maxPauseTokens))/s.pace > limit {
		paused = s.inflight - s.reading
	}
	if float64(min(s.unreadTokens, maxPauseTokens))/s.pace > limit {
		paused++
	}
	return paused
}

// overload returns the cost, in milliseconds, of an engine whose slots or memory would
// be exhausted: it would queue the call, or preempt another one and read its prompt
// again.
func overload(s *snapshot, criteria *Criteria) float64 {
	if criteria.EngineSpec == nil {
		return 0
	}
	cost := 0.0
	if s.isFull(criteria) {
		cost += overloadCost
	}
	excessTokens := float64(s.heldTokens+criteria.OwnTokens+criteria.MaxOutputTokens) - maxMemoryFraction*float64(criteria.EngineSpec.MemoryTokens)
	if criteria.EngineSpec.MemoryTokens > 0 && excessTokens > 0 {
		cost += overloadCost + excessTokens/s.pace
	}
	return cost
}

// ActiveCall is a call in progress at a target. Read and End must not be called
// concurrently.
type ActiveCall struct {
	tracker      *Tracker
	record       *record
	unreadTokens int // prompt tokens counted as unread until Read
	heldTokens   int // tokens counted as held until End
	isRead       bool
	isEnded      bool
	isSample     bool  // the time until the answer begins says how fast the engine reads
	overlap      int   // unread tokens of other calls when the call began
	tokensBegun  int64 // record.tokensBegun when the call began
}

// Begin counts a call to t as in progress. The caller must call End.
func (b *Tracker) Begin(t hookhall.Target, criteria Criteria, now time.Time) *ActiveCall {
	r := b.record(t.Incarnation())
	call := &ActiveCall{tracker: b, record: r}
	r.begin(call, &t, &criteria, now)
	if criteria.IsEngineCall {
		b.holders.add(criteria.SharedPart, t.ID, now)
	}
	return call
}

// Read counts the prompt as read; call it when the answer begins. Repeated calls have
// no effect.
func (c *ActiveCall) Read() {
	if !c.isRead {
		c.isRead = true
		c.record.read(c.unreadTokens)
	}
}

// ReadWithin is Read for a call whose answer began took after it was sent. The engine's pace
// is learned from it if the engine read little else meanwhile.
func (c *ActiveCall) ReadWithin(took time.Duration, now time.Time) {
	if c.isSample && !c.isRead && took > 0 {
		c.record.addSample(c, took, now)
		c.tracker.refreshPaces(now)
	}
	c.Read()
}

// End counts the end of the call and, if necessary, its prompt as read. Repeated calls
// have no effect.
func (c *ActiveCall) End() {
	c.Read()
	if !c.isEnded {
		c.isEnded = true
		c.record.end(c.heldTokens)
	}
}

// Succeeded counts an answer whose header arrived after latency.
func (c *ActiveCall) Succeeded(latency time.Duration, now time.Time) {
	c.record.succeeded(latency, now)
}

// LoadReported records the load report of an answer.
func (c *ActiveCall) LoadReported(report hookhall.LoadReport, now time.Time) {
	c.record.reportSlowdown(report.Slowdown, now)
}

// LoadInvalid records a load report that can't be used. It returns whether it is the first one
// of the target's incarnation. The latest valid report remains in use.
func (c *ActiveCall) LoadInvalid() (first bool) { return c.record.reportInvalidLoad() }

// Failed counts a failure. hard is set if the target was unreachable or silent, which
// the call itself cannot have caused.
func (c *ActiveCall) Failed(hard bool, now time.Time) { c.record.failed(hard, now) }

// Refused counts a call that the target rejected for lack of a free slot.
func (c *ActiveCall) Refused(now time.Time) { c.record.refused(now) }

// AvoidedPauses returns the number of choices so far that would have made a stream pause for
// longer than its route allows if that had no cost.
func (b *Tracker) AvoidedPauses() int64 { return b.avoidedPauses.Load() }

// Status is the part of a state dump that describes one target.
type Status struct {
	Inflight int     // calls in progress
	Unread   int     // prompt tokens sent and not read yet
	PaceMS   float64 // moving average of the latency; 0 before the first answer
	FailRate float64 // moving average, from 0 to 1
	Ejected  bool    // in a pause after a failure
	Full     bool    // in a pause after a refusal
}

// Status returns the status of an incarnation of a target.
func (b *Tracker) Status(incarnation hookhall.Incarnation, now time.Time) Status {
	s := b.record(incarnation).snapshot("", now)
	return Status{s.inflight, s.unreadTokens, s.avgLatency / 1e6, s.failureRate, s.ejectedUntil.After(now), s.refusedUntil.After(now)}
}
