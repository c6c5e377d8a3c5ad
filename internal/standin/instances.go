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

// Instances is a stand-in of the platform's list. A change is shown only after
// the lag. PUT /standin/instance sets one, DELETE /standin/instance?id=ID
// removes one, PUT /standin/faults {"down":true} makes the list fail.
type Instances struct {
	lag  time.Duration
	mu   sync.Mutex
	now  map[string]hookhall.Instance
	past []listed // oldest first
	down bool
}

type listed struct {
	at   time.Time
	list []hookhall.Instance
}

// NewInstances makes an empty list that lags.
func NewInstances(lag time.Duration) *Instances {
	return &Instances{lag: lag, now: map[string]hookhall.Instance{}}
}

// Set adds or changes an instance.
func (l *Instances) Set(i hookhall.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i.Seen = time.Now()
	l.now[i.ID] = i
	l.snapshot()
}

// Remove takes an instance off the list.
func (l *Instances) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.now, id)
	l.snapshot()
}

func (l *Instances) snapshot() {
	list := make([]hookhall.Instance, 0, len(l.now))
	for _, i := range l.now {
		list = append(list, i)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	l.past = append(l.past, listed{time.Now(), list})
}

// shown is the newest list that is older than the lag.
func (l *Instances) shown() []hookhall.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-l.lag)
	for len(l.past) > 1 && !l.past[1].at.After(limit) {
		l.past = l.past[1:]
	}
	if len(l.past) == 0 || l.past[0].at.After(limit) {
		return []hookhall.Instance{}
	}
	return l.past[0].list
}

// show sends the list, unless the asker has it by its tag.
func (l *Instances) show(w http.ResponseWriter, r *http.Request) {
	list := l.shown()
	b, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := `"` + wire.Checksum(b) + `"`
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b) // whoever asked may be gone
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
		l.show(w, r)
	case r.URL.Path == "/standin/faults":
		var f struct{ Down bool }
		if json.NewDecoder(r.Body).Decode(&f) == nil {
			l.mu.Lock()
			l.down = f.Down
			l.mu.Unlock()
		}
	case r.Method == http.MethodPut:
		var i hookhall.Instance
		if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(i)
	case r.Method == http.MethodDelete:
		l.Remove(r.URL.Query().Get("id"))
	default:
		http.NotFound(w, r)
	}
}
