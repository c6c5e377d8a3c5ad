// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key's state or one change of it, as the store's protocol encodes them.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
	At       uint64 `json:"at,omitempty"`
}

// lease is the time to live of the keys that were written under it.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// pageSize is the largest number of items in a page of a range.
const pageSize = 50

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	items             map[string]item
	history           []item
	compactedRevision uint64 // changes up to this revision are not in history any more
	leases            map[uint64]*lease
	changed           chan struct{}
}

// newStore returns an empty store.
func newStore() *Store {
	return &Store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Set writes a key as the platform itself does; a nil value removes it.
func (s *Store) Set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notifyWatchers()
}

// sortedKeys returns the keys of items with a prefix, sorted.
func sortedKeys(items map[string]item, prefix string) []string {
	var keys []string
	for k := range items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// write changes one key at the current revision; a nil value removes it. s.mu must be held.
func (s *Store) write(key string, value []byte, lease uint64) {
	if value == nil {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
		return
	}
	i := item{Key: key, Value: value, Revision: s.revision, Made: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Made = old.Made
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

// notifyWatchers wakes watches. s.mu must be held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire drops the leases that have expired. s.mu must be held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.dropLease(id)
		}
	}
}

// dropLease removes a lease and its keys. s.mu must be held.
func (s *Store) dropLease(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.write(k, nil, 0)
		}
	}
	s.notifyWatchers()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	switch {
	case r.URL.Path == "/kv-key":
		s.handleGet(w, r)
	case r.URL.Path == "/kv-range":
		s.handleRange(w, r)
	case r.URL.Path == "/kv-watch":
		s.handleWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.handleTxn(w, r)
	case r.URL.Path == "/kv-lease":
		s.handleGrant(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.handleRenew(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		s.handleRevoke(w, strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// writeJSON responds with status 200 and v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails if the client has disconnected
}

// handleGet returns one item, or 404.
func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	i.At = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

// handleRange returns a page of the items under a prefix, after the key in sinceRev.
func (s *Store) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items, at := s.items, s.revision
	out := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		At    uint64 `json:"at"`
	}{Items: []item{}, At: at}
	for _, k := range sortedKeys(items, q.Get("pathPrefix")) {
		if k <= q.Get("sinceRev") {
			continue
		}
		if len(out.Items) == pageSize {
			out.More = true
			break
		}
		out.Items = append(out.Items, items[k])
	}
	s.mu.Unlock()
	writeJSON(w, out)
}

// handleWatch returns the changes under a prefix after revision sinceRev, and waits up to waitMs
// milliseconds for one. It responds with 410 if the history since is incomplete, or if the
// revision is later than the store's.
func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		historyGone, changed := since < s.compactedRevision || since > s.revision, s.changed
		out := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{[]item{}, s.revision}
		for _, i := range s.history {
			if i.Revision > since && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				out.Events = append(out.Events, i)
			}
		}
		s.mu.Unlock()
		if historyGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Events) > 0 {
			writeJSON(w, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handleTxn carries out a transaction and returns its revision.
func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []item   `json:"expectedRev"`
		Put      []item   `json:"put"`
		Delete   []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, revision := s.commit(request.Expected, request.Put, request.Delete)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, map[string]uint64{"revision": revision})
}

// commit carries out a transaction if the expected revisions are the current ones, and returns
// the HTTP status of the result and the revision of the changes.
func (s *Store) commit(expected, put []item, deleted []string) (status int, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, 0
		}
	}
	for _, p := range put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, 0
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, 0
		}
	}
	s.revision++
	for _, p := range put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range deleted {
		s.write(k, nil, 0)
	}
	s.notifyWatchers()
	return http.StatusOK, s.revision
}

// handleGrant grants a lease.
func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(request.TTL) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, map[string]uint64{"lease": id, "ttl_ms": uint64(request.TTL)})
}

// handleRenew extends a lease by its time to live, or responds with 404.
func (s *Store) handleRenew(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	l := s.leases[n]
	if l != nil {
		l.expiry = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

// handleRevoke ends a lease and removes its keys.
func (s *Store) handleRevoke(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseUint(id, 10, 64)
	s.mu.Lock()
	if s.leases[n] != nil {
		s.dropLease(n)
	}
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}
