// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
)

// TargetSettings are what a target is like.
type TargetSettings struct {
	ID string
	// Capacity is how many calls run at once.
	Capacity int
	// Queue is how many wait before further ones are refused; 0 for no bound.
	Queue int
	// Time is what a call takes; for engines, the prefill without the cache.
	Time time.Duration
	// Token is the time of one token; 0 for targets that do not stream.
	Token time.Duration
	// Cache is how many prompt prefixes an engine keeps; a prefix in the cache
	// makes the prefill ten times shorter.
	Cache int
	// Lag is how old load reports are.
	Lag time.Duration
}

// TargetFaults are the switches of a target. Shares are from 0 to 1.
type TargetFaults struct {
	Slow       float64 `json:"slow"`        // factor on all times; 0 is 1
	FailBefore float64 `json:"fail_before"` // share refused as not run
	FailAfter  float64 `json:"fail_after"`  // share that fails after running, with status 500
	Lose       float64 `json:"lose"`        // share whose answer is lost after running
	Truncate   float64 `json:"truncate"`    // share whose answer is cut in the middle
	Misdirect  float64 `json:"misdirect"`   // share that is the answer to another request
	Corrupt    float64 `json:"corrupt"`     // share whose answer has a changed byte
	Duplicate  float64 `json:"duplicate"`   // share whose first word comes twice
	Leaving    bool    `json:"leaving"`     // refuses new work and reports to be leaving
	Quiet      bool    `json:"quiet"`       // with Leaving: only refuses, reports nothing
}

// Run is one line of the ledger: a call that began to run.
type Run struct {
	Target   string    `json:"target"`
	Request  string    `json:"request"`
	Stage    string    `json:"stage"`
	Attempt  string    `json:"attempt"`
	Key      string    `json:"key,omitempty"`
	Tag      string    `json:"tag"`
	Began    time.Time `json:"began"`
	Finished bool      `json:"finished"`
	// BusyMS is how long it held a slot, also when it was canceled.
	BusyMS float64 `json:"busy_ms"`
}

// Target is a stand-in of an engine, a pool's target or a plain service.
type Target struct {
	settings TargetSettings
	slots    *slots
	running  atomic.Int64
	tokens   atomic.Int64
	hits     atomic.Int64

	mu     sync.Mutex
	faults TargetFaults
	ledger []*Run
	cache  []uint64 // newest last
	report hookhall.LoadReport
	taken  time.Time
}

// NewTarget makes a target.
func NewTarget(s TargetSettings) *Target {
	return &Target{settings: s, slots: newSlots(s.Capacity)}
}

// SetFaults sets the switches.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Ledger copies the runs so far.
func (t *Target) Ledger() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]Run, len(t.ledger))
	for i, r := range t.ledger {
		runs[i] = *r
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathCall:
		t.call(w, r)
	case wire.PathLoad:
		reply(w, t.load())
	case "/standin/ledger":
		reply(w, t.Ledger())
	case "/standin/stats":
		reply(w, map[string]int64{"tokens": t.tokens.Load(), "cache_hits": t.hits.Load()})
	case "/standin/faults":
		var f TargetFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	default:
		http.NotFound(w, r)
	}
}

// load is the report as it was Lag ago at most.
func (t *Target) load() hookhall.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.taken) >= t.settings.Lag {
		t.taken = time.Now()
		t.report = hookhall.LoadReport{
			Running: int(t.running.Load()), Waiting: t.slots.waiting(), Capacity: t.settings.Capacity,
		}
	}
	r := t.report
	r.Leaving = t.faults.Leaving && !t.faults.Quiet
	return r
}

func (t *Target) call(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return // the call was cut off before it was whole
	}
	wire.Echo(w.Header(), r.Header)
	if refused := t.refuse(w, f); refused {
		return
	}
	arrived := time.Now()
	if !t.slots.take(r.Context(), number(r, wire.HeaderPriority)) {
		return
	}
	defer t.slots.free()
	t.running.Add(1)
	defer t.running.Add(-1)
	t.run(w, r, f, string(input), time.Since(arrived))
}

// refuse answers calls that are not run.
func (t *Target) refuse(w http.ResponseWriter, f TargetFaults) bool {
	status := 0
	switch {
	case f.Leaving:
		w.Header().Set(wire.HeaderLeaving, "true")
		status = http.StatusServiceUnavailable
	case rand.Float64() < f.FailBefore:
		status = http.StatusServiceUnavailable
	case t.settings.Queue > 0 && t.slots.waiting() >= t.settings.Queue:
		status = http.StatusTooManyRequests
	default:
		return false
	}
	w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(w, "refused before running", status)
	return true
}

func (t *Target) run(w http.ResponseWriter, r *http.Request, f TargetFaults, input string, waited time.Duration) {
	line := t.begin(r, input)
	began := time.Now()
	defer func() {
		t.mu.Lock()
		line.BusyMS = millis(time.Since(began))
		t.mu.Unlock()
	}()
	slow := max(f.Slow, 1)
	tokens := 0
	if t.settings.Token > 0 {
		tokens = max(number(r, wire.HeaderMaxTokens), 1)
	}
	words := Transform(r.Header.Get(wire.HeaderStage), input, tokens)
	if !sleep(r.Context(), scale(t.prefill(input), slow)) {
		return
	}
	a := &answer{w: w, fault: f, words: append([]string(nil), words...)}
	if err := a.begin(); err != nil {
		t.finish(line)
		return
	}
	for i, word := range words {
		if t.settings.Token > 0 && i > 0 && !sleep(r.Context(), scale(t.tokenTime(), slow)) {
			return
		}
		a.word(i, word)
		t.tokens.Add(1)
	}
	t.finish(line)
	a.end(&wire.TargetEnd{
		Tokens: len(words), QueueMS: millis(waited), BusyMS: millis(time.Since(began)), Load: t.load(),
	})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// tokenTime grows by half from an empty batch to a full one.
func (t *Target) tokenTime() time.Duration {
	full := float64(t.running.Load()) / float64(t.settings.Capacity)
	return scale(t.settings.Token, 1+full/2)
}

// cachedPart is how much shorter a prefill with a cached prefix is.
const (
	cachedPart   = 10
	prefixLength = 64
)

// prefill is the time before the first word.
func (t *Target) prefill(input string) time.Duration {
	if t.settings.Cache == 0 {
		return t.settings.Time
	}
	prefix := xxhash.Sum64String(input[:min(prefixLength, len(input))])
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, p := range t.cache {
		if p == prefix {
			t.cache = append(append(t.cache[:i:i], t.cache[i+1:]...), p)
			t.hits.Add(1)
			return t.settings.Time / cachedPart
		}
	}
	t.cache = append(t.cache, prefix)
	if len(t.cache) > t.settings.Cache {
		t.cache = t.cache[1:]
	}
	return t.settings.Time
}

func (t *Target) begin(r *http.Request, input string) *Run {
	line := &Run{
		Target: t.settings.ID, Request: r.Header.Get(wire.HeaderRequestID), Stage: r.Header.Get(wire.HeaderStage),
		Attempt: r.Header.Get(wire.HeaderAttempt), Key: r.Header.Get(wire.HeaderKey),
		Tag: Tag(input), Began: time.Now(),
	}
	t.mu.Lock()
	t.ledger = append(t.ledger, line)
	t.mu.Unlock()
	return line
}

func (t *Target) finish(line *Run) {
	t.mu.Lock()
	line.Finished = true
	t.mu.Unlock()
}

// answer writes a target's answer, with its faults.
type answer struct {
	w     http.ResponseWriter
	fault TargetFaults
	words []string
	text  string
	cut   int
	// other is set when the words are another request's, whole and in order.
	other bool
}

// begin decides the faults of this answer. An error means that it has been
// given already.
func (a *answer) begin() error {
	a.cut = -1
	f := a.fault
	switch x := rand.Float64(); {
	case x < f.FailAfter:
		http.Error(a.w, "failed after running", http.StatusInternalServerError)
		return errFault
	case x < f.FailAfter+f.Lose:
		a.cut = 0
	case x < f.FailAfter+f.Lose+f.Truncate:
		a.cut = (len(a.words) + 1) / 2
	case x < f.FailAfter+f.Lose+f.Truncate+f.Misdirect:
		a.w.Header().Set(wire.HeaderRequestID, "another-request")
		a.words = Transform("another-stage", "another input another-tag", len(a.words)+1)[:len(a.words)]
		a.other = true
	case x < f.FailAfter+f.Lose+f.Truncate+f.Misdirect+f.Corrupt:
		last := a.words[len(a.words)-1]
		a.words[len(a.words)-1] = last[:len(last)-1] + "#"
	case x < f.FailAfter+f.Lose+f.Truncate+f.Misdirect+f.Corrupt+f.Duplicate:
		a.words[0] += a.words[0]
	}
	return nil
}

var errFault = fmt.Errorf("fault")

func (a *answer) word(i int, word string) {
	if a.cut >= 0 && i >= a.cut {
		return // the rest of the run goes on, unseen
	}
	if a.other {
		word = a.words[i]
	}
	a.text += word
	if a.words[i] != word {
		word = a.words[i] // corrupted on its way: the checksum is of what was meant
	}
	a.write(wire.TargetLine{Text: word})
}

func (a *answer) end(e *wire.TargetEnd) {
	if a.cut >= 0 {
		panic(http.ErrAbortHandler) // the connection breaks
	}
	e.Length, e.Checksum = len(a.text), wire.Checksum([]byte(a.text))
	a.write(wire.TargetLine{End: e})
}

func (a *answer) write(l wire.TargetLine) {
	if json.NewEncoder(a.w).Encode(l) == nil {
		_ = http.NewResponseController(a.w).Flush() // the next write shows it
	}
}

func number(r *http.Request, header string) int {
	n, err := strconv.Atoi(r.Header.Get(header))
	if err != nil {
		return 0
	}
	return n
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
