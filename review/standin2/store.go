// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	revision int64
	items    map[string]item
	history  []event
	leases   map[int64]*lease
	lastID   int64
}

// item is an item of the store, as it is encoded.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Made     int64  `json:"made"`
	Lease    int64  `json:"lease"`
}

// event is a change of an item.
type event struct {
	item
	gone bool
}

// lease is a lease with the time at which it runs out.
type lease struct {
	ttl time.Duration
	end time.Time
}

// newStore starts an empty store.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), changed: make(chan struct{}), items: map[string]item{}, leases: map[int64]*lease{}, revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(l, mux) }()
	go s.expireLeases()
	return s, nil
}

// answer writes an answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes an item as the operator or an engine does.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // a value of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
	s.wake()
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
	s.wake()
}

// write writes an item. s.mu must be held.
func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{key, value, s.revision, s.revision, lease}
	if old, ok := s.items[key]; ok {
		i.Made = old.Made
	}
	s.items[key] = i
	s.history = append(s.history, event{i, false})
}

// delete deletes an item. s.mu must be held.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Revision: s.revision}, true})
}

// wake ends the waits of watches. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have run out.
func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease. s.mu must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
	s.wake()
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("pathPrefix")) && key > r.FormValue("sinceRev") {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > page
	if more {
		list = list[:page]
	}
	answer(w, http.StatusOK, map[string]any{"items": list, "more": more, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.FormValue("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			switch {
			case e.Revision <= since || !strings.HasPrefix(e.Key, r.FormValue("pathPrefix")):
			case e.gone:
				events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "gone": true})
			default:
				events = append(events, e.item)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Put    []item   `json:"put"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, e := range txn.Expected {
		i, ok := s.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range txn.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range txn.Put {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Delete {
		s.delete(key)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(max(request.TTL, 1000)) * time.Millisecond
	s.leases[s.lastID] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, struct{}{})
}
