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

// The service's documented rates and bound on a value.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
	maxValue        = 1 << 20
)

// KeyValueFaults are the switches of a KeyValue.
type KeyValueFaults struct {
	Down       bool `json:"down"`        // every call fails
	SlowMS     int  `json:"slow_ms"`     // every call takes this much longer
	LoseWrites int  `json:"lose_writes"` // the answers of the next writes are lost after their effect
	StaleReads int  `json:"stale_reads"` // the next reads show what a key held before its last change
}

// KeyValueStats are the calls counted, waiting watches included.
type KeyValueStats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Limited int64 `json:"limited"`
	// Most are the most calls in any one second.
	MostReads  int64 `json:"most_reads_per_s"`
	MostWrites int64 `json:"most_writes_per_s"`
}

// KeyValue is a stand-in of the platform's key-value service.
type KeyValue struct {
	mu      sync.Mutex
	index   uint64
	pairs   map[string]kvPair
	changed chan struct{}
	faults  KeyValueFaults
	stats   KeyValueStats
	second  int64
	inRead  int64
	inWrite int64
	reads   *rate.Limiter
	writes  *rate.Limiter
}

type kvPair struct {
	value, before []byte
	index         uint64
	indexBefore   uint64
}

// NewKeyValue makes an empty service.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		pairs: map[string]kvPair{}, changed: make(chan struct{}),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
	}
}

// SetFaults sets the switches.
func (k *KeyValue) SetFaults(f KeyValueFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.wake() // watches in progress meet the fault too
}

// Stats reads the counters.
func (k *KeyValue) Stats() KeyValueStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

func (k *KeyValue) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (k *KeyValue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	if !ok {
		k.control(w, r)
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

func (k *KeyValue) control(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/standin/faults" {
		reply(w, k.Stats())
		return
	}
	var f KeyValueFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(f)
}

// admit counts the call and applies rate limit, slowness and outage.
func (k *KeyValue) admit(w http.ResponseWriter, r *http.Request) bool {
	write := r.Method != http.MethodGet
	k.mu.Lock()
	k.count(write, r.URL.Query().Has("index"))
	f := k.faults
	k.mu.Unlock()
	limiter := k.reads
	if write {
		limiter = k.writes
	}
	if !limiter.Allow() {
		k.mu.Lock()
		k.stats.Limited++
		k.mu.Unlock()
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (k *KeyValue) count(write, watch bool) {
	if now := time.Now().Unix(); now != k.second {
		k.second, k.inRead, k.inWrite = now, 0, 0
	}
	switch {
	case write:
		k.stats.Writes++
		k.inWrite++
	case watch:
		k.stats.Watches++
		k.inRead++
	default:
		k.stats.Reads++
		k.inRead++
	}
	k.stats.MostReads = max(k.stats.MostReads, k.inRead)
	k.stats.MostWrites = max(k.stats.MostWrites, k.inWrite)
}

func (k *KeyValue) get(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	if q.Has("index") {
		k.await(r, key, q.Get("index"), q.Get("wait"))
	}
	k.mu.Lock()
	if k.faults.Down {
		k.mu.Unlock()
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	p, ok := k.pairs[key]
	if k.faults.StaleReads > 0 && p.indexBefore > 0 {
		k.faults.StaleReads--
		p.value, p.index = p.before, p.indexBefore
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
	}{{key, p.value, p.index}})
}

// await waits until the key's index differs, the wait is over, an outage
// begins or the caller goes away.
func (k *KeyValue) await(r *http.Request, key, index, wait string) {
	seen, err := strconv.ParseUint(index, 10, 64)
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
		done, changed := k.pairs[key].index != seen || k.faults.Down, k.changed
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

func (k *KeyValue) put(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	cas, casErr := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil || casErr != nil || len(value) > maxValue {
		http.Error(w, "wrong value or index", http.StatusRequestEntityTooLarge)
		return
	}
	k.mu.Lock()
	old := k.pairs[key]
	ok := old.index == cas
	if ok {
		k.index++
		k.pairs[key] = kvPair{value: value, before: old.value, index: k.index, indexBefore: old.index}
		k.wake()
	}
	lose := k.faults.LoseWrites > 0
	if lose {
		k.faults.LoseWrites--
	}
	k.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler) // the connection breaks after the effect
	}
	reply(w, ok)
}

func (k *KeyValue) remove(w http.ResponseWriter, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pairs, key)
	reply(w, true)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // whoever asked may be gone
}
