// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package binding

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// MaxWindow is how long a History remembers a version that is no longer listed.
const MaxWindow = time.Minute

// History remembers which versions of each service the list of targets has had. Its zero value
// knows nothing, and it is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	byService map[string]*serviceHistory
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	since      time.Time            // when the first list was observed
	listed     map[string]bool      // versions on the latest list
	lastListed map[string]time.Time // when versions that are not on it were last on one
}

// Observe records the versions of a service's targets, of those that are leaving, too, as they are
// listed from now on. It retains the map.
func (h *History) Observe(service string, versions map[string]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byService == nil {
		h.byService = map[string]*serviceHistory{}
	}
	s := h.byService[service]
	if s == nil {
		s = &serviceHistory{since: now, lastListed: map[string]time.Time{}}
		h.byService[service] = s
	}
	for version := range s.listed {
		if !versions[version] {
			s.lastListed[version] = now
		}
	}
	s.listed = versions
	maps.DeleteFunc(s.lastListed, func(version string, at time.Time) bool { return versions[version] || now.Sub(at) > MaxWindow })
}

// Within returns the versions of a service that were listed within a window before now, and how far
// back the history reaches, at most the window.
func (h *History) Within(service string, window time.Duration, now time.Time) (versions []string, reach time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.byService[service]
	if s == nil {
		return nil, 0
	}
	window = min(window, MaxWindow)
	return s.within(window, now), min(now.Sub(s.since), window)
}

// Mixed reports whether several versions of a service were listed within a window before now.
func (h *History) Mixed(service string, window time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.byService[service]
	return s != nil && len(s.within(window, now)) > 1
}

// within returns the versions that were listed within a window before now.
func (s *serviceHistory) within(window time.Duration, now time.Time) []string {
	var versions []string
	for version := range s.listed {
		versions = append(versions, version)
	}
	for version, at := range s.lastListed {
		if now.Sub(at) <= window {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}
