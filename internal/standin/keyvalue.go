// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits that the platform documents for its key-value service, and that the stand-in
// enforces.
const (
	// WritesPerSecond and ReadsPerSecond are rate limits and also the sizes of the bursts.
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
	// maxValueBytes limits the size of one value.
	maxValueBytes = 1 << 20
)

// KeyValueFaults are the fault switches of a KeyValue. The zero value has none.
type KeyValueFaults struct {
	Down             bool `json:"down"`        // every call fails with 503
	SlowMS           int  `json:"slow_ms"`     // delay added to every call, in milliseconds
	LoseWriteAnswers int  `json:"lose_writes"` // number of next writes whose answer is lost after their effect
	StaleReads       int  `json:"stale_reads"` // number of next reads that return the value before the last write, of keys written twice or more
}

// KeyValueStats counts calls by kind, rejected ones included.
type KeyValueStats struct {
	Reads   int64 `json:"reads"`   // reads without an index
	Writes  int64 `json:"writes"`  // puts and deletes
	Watches int64 `json:"watches"` // reads that wait for a change of an index
	Limited int64 `json:"limited"` // calls rejected by a rate limit
	// The highest counts of reads and writes within one second of the clock; watches count
	// as reads.
	MaxReadsPerSecond  int64 `json:"most_reads_per_s"`
	MaxWritesPerSecond int64 `json:"most_writes_per_s"`
}

// KeyValue is a stand-in of the platform's key-value service: keys with a modify index,
// compare-and-swap writes and blocking reads. It is safe for concurrent use.
type KeyValue struct {
	mu               sync.Mutex
	lastIndex        uint64
	pairs            map[string]kvPair
	changed          chan struct{} // closed and replaced by every write and every change of the faults
	faults           KeyValueFaults
	stats            KeyValueStats
	currentSecond    int64 // Unix time that the next two counters belong to
	readsThisSecond  int64
	writesThisSecond int64
	readLimiter      *rate.Limiter
	writeLimiter     *rate.Limiter
}

// kvPair is a value with its modify index, and both as they were before the last write; the
// previous ones are zero until the second write.
type kvPair struct {
	value, previousValue []byte
	index                uint64
	previousIndex        uint64
}

// NewKeyValue returns an empty service without faults.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		pairs: map[string]kvPair{}, changed: make(chan struct{}),
		readLimiter:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		writeLimiter: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
	}
}

// SetFaults replaces all fault switches.
func (k *KeyValue) SetFaults(faults KeyValueFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = faults
	k.notifyWatches() // watches in progress are subject to the new faults
}

// Stats returns the counters.
func (k *KeyValue) Stats() KeyValueStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// notifyWatches makes all watches in progress check their key. k.mu must be held.
func (k *KeyValue) notifyWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (k *KeyValue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	if !ok {
		k.serveControl(w, r)
		return
	}
	if !k.admit(w, r) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		k.get(w, r, key)
	case http.MethodPut:
		k.put(w, r, key)
	case http.MethodDelete:
		k.remove(w, key)
	default:
		http.Error(w, "method", http.StatusMethodNotAllowed)
	}
}

// serveControl sets the faults, or answers with the counters on any other path.
func (k *KeyValue) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/standin/faults" {
		reply(w, k.Stats())
		return
	}
	var faults KeyValueFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(faults)
}

// admit counts a call and applies the rate limit, the delay and the outage. It returns
// false if it has answered the call.
func (k *KeyValue) admit(w http.ResponseWriter, r *http.Request) bool {
	write := r.Method != http.MethodGet
	k.mu.Lock()
	k.countCall(write, r.URL.Query().Has("index"))
	faults := k.faults
	k.mu.Unlock()
	limiter := k.readLimiter
	if write {
		limiter = k.writeLimiter
	}
	if !limiter.Allow() {
		k.mu.Lock()
		k.stats.Limited++
		k.mu.Unlock()
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	if faults.Down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// countCall counts one call. k.mu must be held.
func (k *KeyValue) countCall(write, watch bool) {
	if now := time.Now().Unix(); now != k.currentSecond {
		k.currentSecond, k.readsThisSecond, k.writesThisSecond = now, 0, 0
	}
	switch {
	case write:
		k.stats.Writes++
		k.writesThisSecond++
	case watch:
		k.stats.Watches++
		k.readsThisSecond++
	default:
		k.stats.Reads++
		k.readsThisSecond++
	}
	k.stats.MaxReadsPerSecond = max(k.stats.MaxReadsPerSecond, k.readsThisSecond)
	k.stats.MaxWritesPerSecond = max(k.stats.MaxWritesPerSecond, k.writesThisSecond)
}

func (k *KeyValue) get(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	if query.Has("index") {
		k.awaitChange(r, key, query.Get("index"), query.Get("wait"))
	}
	k.mu.Lock()
	if k.faults.Down {
		k.mu.Unlock()
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	pair, ok := k.pairs[key]
	if k.faults.StaleReads > 0 && pair.previousIndex > 0 {
		k.faults.StaleReads--
		pair.value, pair.index = pair.previousValue, pair.previousIndex
	}
	k.mu.Unlock()
	if !ok {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	reply(w, []struct {
		Key         string
		Value       []byte
		ModifyIndex uint64
	}{{key, pair.value, pair.index}})
}

// awaitChange returns when the key's modify index differs from index, the time wait has
// passed, an outage begins or the client disconnects; at once if index or wait is
// malformed.
func (k *KeyValue) awaitChange(r *http.Request, key, index, wait string) {
	knownIndex, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return
	}
	limit, err := time.ParseDuration(wait)
	if err != nil {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		k.mu.Lock()
		done, changed := k.pairs[key].index != knownIndex || k.faults.Down, k.changed
		k.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// put writes a value if the parameter cas equals the modify index of its key (0 for a new
// one), and answers whether it did.
func (k *KeyValue) put(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	cas, casErr := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil || casErr != nil || len(value) > maxValueBytes {
		http.Error(w, "wrong value or index", http.StatusRequestEntityTooLarge)
		return
	}
	k.mu.Lock()
	current := k.pairs[key]
	matches := current.index == cas
	if matches {
		k.lastIndex++
		k.pairs[key] = kvPair{value: value, previousValue: current.value, index: k.lastIndex, previousIndex: current.index}
		k.notifyWatches()
	}
	loseAnswer := k.faults.LoseWriteAnswers > 0
	if loseAnswer {
		k.faults.LoseWriteAnswers--
	}
	k.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler) // breaks the connection after the write took effect
	}
	reply(w, matches)
}

func (k *KeyValue) remove(w http.ResponseWriter, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pairs, key)
	k.notifyWatches()
	reply(w, true)
}

// reply answers with v as JSON.
func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
