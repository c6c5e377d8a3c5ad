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

// TargetSettings configures a Target.
type TargetSettings struct {
	// ID names the target in its ledger.
	ID string
	// Capacity is the number of calls that run at once.
	Capacity int
	// MaxQueued is the number of waiting calls from which on further ones are refused; 0
	// for no limit.
	MaxQueued int
	// CallTime is the duration of a call; for engines, of a prefill without a cached prefix.
	CallTime time.Duration
	// TokenTime is the time of one token in an otherwise empty batch; 0 for targets that do
	// not stream.
	TokenTime time.Duration
	// CachedPrefixes is the number of prompt prefixes that an engine caches, the least
	// recently used evicted first; a cached prefix makes the prefill ten times shorter.
	CachedPrefixes int
	// ReportLag is the maximum age of a load report; within it, the same report is repeated.
	ReportLag time.Duration
}

// TargetFaults are the fault switches of a Target. The zero value has none. Shares are
// probabilities from 0 to 1 for each call.
type TargetFaults struct {
	SlowFactor  float64 `json:"slow"`        // factor on all times; values below 1 count as 1
	FailBefore  float64 `json:"fail_before"` // share refused with 503 and marked as not run
	FailAfter   float64 `json:"fail_after"`  // share that fails with status 500 after the prefill and counts as finished
	LoseAnswer  float64 `json:"lose"`        // share whose connection breaks after running, before the first word
	Truncate    float64 `json:"truncate"`    // share whose connection breaks in the middle of the answer
	Misdirect   float64 `json:"misdirect"`   // share answered with the answer of another request
	Corrupt     float64 `json:"corrupt"`     // share whose answer has a changed last byte
	Duplicate   float64 `json:"duplicate"`   // share whose first word is sent twice
	Leaving     bool    `json:"leaving"`     // refuses new calls and reports that it is leaving
	HideLeaving bool    `json:"quiet"`       // with Leaving: refuses new calls, but load reports do not say so
}

// RunRecord is one entry of the ledger: a call that began to run.
type RunRecord struct {
	Target         string    `json:"target"`
	Request        string    `json:"request"`
	Stage          string    `json:"stage"`
	Attempt        string    `json:"attempt"`
	IdempotencyKey string    `json:"key,omitempty"` // empty if none was sent
	Tag            string    `json:"tag"`
	StartedAt      time.Time `json:"began"`
	Finished       bool      `json:"finished"` // ran to its end, even if its answer was then lost
	// BusyMS is the time in milliseconds that the call held a slot, also if it was canceled.
	BusyMS float64 `json:"busy_ms"`
}

// Target is a stand-in of a target: an engine, another pool's target or a plain service.
// It is safe for concurrent use.
type Target struct {
	settings   TargetSettings
	slots      *slots
	running    atomic.Int64
	tokensSent atomic.Int64
	cacheHits  atomic.Int64

	mu             sync.Mutex
	faults         TargetFaults
	ledger         []*RunRecord
	cachedPrefixes []uint64 // least recently used first, as hashes
	lastReport     hookhall.LoadReport
	lastReportAt   time.Time
}

// NewTarget returns a target without faults. It runs at least one call at a time.
func NewTarget(s TargetSettings) *Target {
	return &Target{settings: s, slots: newSlots(s.Capacity)}
}

// SetFaults replaces all fault switches; calls in progress keep the earlier ones.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Ledger returns a copy of all runs so far, in the order in which they began.
func (t *Target) Ledger() []RunRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make([]RunRecord, len(t.ledger))
	for i, r := range t.ledger {
		runs[i] = *r
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case wire.PathCall:
		t.serveCall(w, r)
	case wire.PathLoad:
		reply(w, t.loadReport())
	case "/standin/ledger":
		reply(w, t.Ledger())
	case "/standin/stats":
		reply(w, map[string]int64{"tokens": t.tokensSent.Load(), "cache_hits": t.cacheHits.Load()})
	case "/standin/faults":
		var faults TargetFaults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(faults)
	default:
		http.NotFound(w, r)
	}
}

// loadReport returns a load report that is at most TargetSettings.ReportLag old.
func (t *Target) loadReport() hookhall.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.lastReportAt) >= t.settings.ReportLag {
		t.lastReportAt = time.Now()
		t.lastReport = hookhall.LoadReport{
			Running: int(t.running.Load()), Waiting: t.slots.waiting(), Capacity: t.settings.Capacity,
		}
	}
	report := t.lastReport
	report.Leaving = t.faults.Leaving && !t.faults.HideLeaving
	return report
}

// serveCall answers one stage call: it refuses the call, or runs it in a slot.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection broke before the call was complete
	}
	wire.EchoHeaders(w.Header(), r.Header)
	if refused := t.refuse(w, faults); refused {
		return
	}
	arrived := time.Now()
	if !t.slots.acquire(r.Context(), headerInt(r, wire.HeaderPriority)) {
		return
	}
	defer t.slots.release()
	t.running.Add(1)
	defer t.running.Add(-1)
	t.runCall(w, r, faults, string(input), time.Since(arrived))
}

// refuse answers a call that a fault or a full queue keeps from running, and reports
// whether it did.
func (t *Target) refuse(w http.ResponseWriter, faults TargetFaults) bool {
	status := 0
	switch {
	case faults.Leaving:
		w.Header().Set(wire.HeaderLeaving, "true")
		status = http.StatusServiceUnavailable
	case rand.Float64() < faults.FailBefore:
		status = http.StatusServiceUnavailable
	case t.settings.MaxQueued > 0 && t.slots.waiting() >= t.settings.MaxQueued:
		status = http.StatusTooManyRequests
	default:
		return false
	}
	w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(w, "refused before running", status)
	return true
}

// runCall runs a call that has a slot and writes its answer.
func (t *Target) runCall(w http.ResponseWriter, r *http.Request, faults TargetFaults, input string, waited time.Duration) {
	record := t.beginRun(r, input)
	began := time.Now()
	defer func() {
		t.mu.Lock()
		record.BusyMS = milliseconds(time.Since(began))
		t.mu.Unlock()
	}()
	slowFactor := max(faults.SlowFactor, 1)
	tokens := 0
	if t.settings.TokenTime > 0 {
		tokens = max(headerInt(r, wire.HeaderMaxTokens), 1)
	}
	words := Transform(r.Header.Get(wire.HeaderStage), input, tokens)
	if !sleepContext(r.Context(), scaleDuration(t.prefillTime(input), slowFactor)) {
		return
	}
	output := &answer{w: w, faults: faults, words: append([]string(nil), words...)}
	if err := output.applyFault(); err != nil {
		t.finishRun(record)
		return
	}
	for i, word := range words {
		if t.settings.TokenTime > 0 && i > 0 && !sleepContext(r.Context(), scaleDuration(t.currentTokenTime(), slowFactor)) {
			return
		}
		output.writeWord(i, word)
		t.tokensSent.Add(1)
	}
	t.finishRun(record)
	output.finish(&wire.TargetEnd{
		Tokens: len(words), QueueMS: milliseconds(waited), BusyMS: milliseconds(time.Since(began)), Load: t.loadReport(),
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// currentTokenTime returns the time of one token, which grows linearly with the batch: in
// a full one it is half as long again as in an empty one.
func (t *Target) currentTokenTime() time.Duration {
	batchShare := float64(t.running.Load()) / float64(t.settings.Capacity)
	return scaleDuration(t.settings.TokenTime, 1+batchShare/2)
}

const (
	// cachedPrefillDivisor divides the prefill time if the prefix is cached.
	cachedPrefillDivisor = 10
	// prefixBytes is the length of the prompt prefix that the cache is keyed by.
	prefixBytes = 64
)

// prefillTime returns the time before the first word, and makes the input's prefix the most
// recently used one in the cache.
func (t *Target) prefillTime(input string) time.Duration {
	if t.settings.CachedPrefixes == 0 {
		return t.settings.CallTime
	}
	prefix := xxhash.Sum64String(input[:min(prefixBytes, len(input))])
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, cached := range t.cachedPrefixes {
		if cached == prefix {
			t.cachedPrefixes = append(append(t.cachedPrefixes[:i:i], t.cachedPrefixes[i+1:]...), cached)
			t.cacheHits.Add(1)
			return t.settings.CallTime / cachedPrefillDivisor
		}
	}
	t.cachedPrefixes = append(t.cachedPrefixes, prefix)
	if len(t.cachedPrefixes) > t.settings.CachedPrefixes {
		t.cachedPrefixes = t.cachedPrefixes[1:]
	}
	return t.settings.CallTime
}

// beginRun appends the call to the ledger.
func (t *Target) beginRun(r *http.Request, input string) *RunRecord {
	record := &RunRecord{
		Target: t.settings.ID, Request: r.Header.Get(wire.HeaderRequestID), Stage: r.Header.Get(wire.HeaderStage),
		Attempt: r.Header.Get(wire.HeaderAttempt), IdempotencyKey: r.Header.Get(wire.HeaderIdempotencyKey),
		Tag: Tag(input), StartedAt: time.Now(),
	}
	t.mu.Lock()
	t.ledger = append(t.ledger, record)
	t.mu.Unlock()
	return record
}

// finishRun marks a run as finished in the ledger.
func (t *Target) finishRun(record *RunRecord) {
	t.mu.Lock()
	record.Finished = true
	t.mu.Unlock()
}

// answer writes a target's answer and applies its faults.
type answer struct {
	w            http.ResponseWriter
	faults       TargetFaults
	words        []string
	intendedText string // what the checksum covers: the words before corruption
	cutAt        int    // index of the first word that is not sent; -1 for none
	// misdirected is set if words are the complete answer of another request.
	misdirected bool
}

// applyFault draws which fault, if any, this answer has. It returns errAlreadyAnswered if
// the fault is a complete answer of its own.
func (a *answer) applyFault() error {
	a.cutAt = -1
	faults := a.faults
	switch draw := rand.Float64(); {
	case draw < faults.FailAfter:
		http.Error(a.w, "failed after running", http.StatusInternalServerError)
		return errAlreadyAnswered
	case draw < faults.FailAfter+faults.LoseAnswer:
		a.cutAt = 0
	case draw < faults.FailAfter+faults.LoseAnswer+faults.Truncate:
		a.cutAt = (len(a.words) + 1) / 2
	case draw < faults.FailAfter+faults.LoseAnswer+faults.Truncate+faults.Misdirect:
		a.w.Header().Set(wire.HeaderRequestID, "another-request")
		a.words = Transform("another-stage", "another input another-tag", len(a.words)+1)[:len(a.words)]
		a.misdirected = true
	case draw < faults.FailAfter+faults.LoseAnswer+faults.Truncate+faults.Misdirect+faults.Corrupt:
		last := a.words[len(a.words)-1]
		a.words[len(a.words)-1] = last[:len(last)-1] + "#"
	case draw < faults.FailAfter+faults.LoseAnswer+faults.Truncate+faults.Misdirect+faults.Corrupt+faults.Duplicate:
		a.words[0] += a.words[0]
	}
	return nil
}

// errAlreadyAnswered reports that applyFault has written the complete answer.
var errAlreadyAnswered = fmt.Errorf("fault")

// writeWord sends word i, changed or left out as the fault requires.
func (a *answer) writeWord(i int, word string) {
	if a.cutAt >= 0 && i >= a.cutAt {
		return // the run continues, but nothing more is sent
	}
	if a.misdirected {
		word = a.words[i]
	}
	a.intendedText += word
	if a.words[i] != word {
		word = a.words[i] // corrupted in transit: the checksum covers the intended word
	}
	a.writeLine(wire.TargetLine{Text: word})
}

// finish writes the last line with length and checksum, or breaks the connection.
func (a *answer) finish(e *wire.TargetEnd) {
	if a.cutAt >= 0 {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	e.Length, e.Checksum = len(a.intendedText), wire.Checksum([]byte(a.intendedText))
	a.writeLine(wire.TargetLine{End: e})
}

// writeLine writes one line and flushes it.
func (a *answer) writeLine(l wire.TargetLine) {
	if json.NewEncoder(a.w).Encode(l) == nil {
		_ = http.NewResponseController(a.w).Flush() // a broken connection fails the next write
	}
}

// headerInt returns the number in a header field, or 0 if the field is missing or malformed.
func headerInt(r *http.Request, header string) int {
	n, err := strconv.Atoi(r.Header.Get(header))
	if err != nil {
		return 0
	}
	return n
}

// sleepContext waits for d and reports whether it passed before ctx ended.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
