// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
)

// Instances is a stand-in of the platform's instance list. A change becomes visible
// only after a fixed lag. PUT /standin/instance adds or changes an instance, DELETE
// /standin/instance?id=ID removes one, and PUT /standin/faults {"down":true} makes
// the list answer 503. It is safe for concurrent use.
type Instances struct {
	lag       time.Duration
	mu        sync.Mutex
	current   map[string]hookhall.Instance
	snapshots []listSnapshot // oldest first
	down      bool
}

// listSnapshot is the complete list, sorted by ID, as it was from takenAt on.
type listSnapshot struct {
	takenAt   time.Time
	instances []hookhall.Instance
}

// NewInstances returns an empty list whose changes become visible after lag.
func NewInstances(lag time.Duration) *Instances {
	return &Instances{lag: lag, current: map[string]hookhall.Instance{}}
}

// Set adds i, or replaces the instance that has its ID, and stamps it as seen now.
func (l *Instances) Set(i hookhall.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i.LastSeen = time.Now()
	l.current[i.ID] = i
	l.recordSnapshot()
}

// Remove deletes the instance with this ID, if there is one.
func (l *Instances) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.current, id)
	l.recordSnapshot()
}

// recordSnapshot appends the current list to the snapshots. l.mu must be held.
func (l *Instances) recordSnapshot() {
	list := make([]hookhall.Instance, 0, len(l.current))
	for _, i := range l.current {
		list = append(list, i)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	l.snapshots = append(l.snapshots, listSnapshot{time.Now(), list})
}

// visible returns the newest snapshot that is at least as old as the lag, and drops
// older ones. It returns an empty list as long as there is none.
func (l *Instances) visible() []hookhall.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	newestVisible := time.Now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].takenAt.After(newestVisible) {
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) == 0 || l.snapshots[0].takenAt.After(newestVisible) {
		return []hookhall.Instance{}
	}
	return l.snapshots[0].instances
}

// writeList answers with the visible list, or with 304 if the request's ETag matches it.
func (l *Instances) writeList(w http.ResponseWriter, r *http.Request) {
	list := l.visible()
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := `"` + wire.Checksum(body) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// ServeHTTP implements http.Handler.
func (l *Instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/instances":
		l.mu.Lock()
		down := l.down
		l.mu.Unlock()
		if down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		l.writeList(w, r)
	case r.URL.Path == "/standin/faults":
		var faults struct{ Down bool }
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		l.down = faults.Down
		l.mu.Unlock()
	case r.Method == http.MethodPut:
		var instance hookhall.Instance
		if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(instance)
	case r.Method == http.MethodDelete:
		l.Remove(r.URL.Query().Get("id"))
	default:
		http.NotFound(w, r)
	}
}
