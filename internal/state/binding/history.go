// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package binding

import (
	"maps"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
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

// Observe records the targets of a service as they are listed from now on.
func (h *History) Observe(service string, targets []hookhall.Target, now time.Time) {
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
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.Version] = true
		delete(s.lastListed, t.Version)
	}
	for version := range s.listed {
		if !listed[version] {
			s.lastListed[version] = now
		}
	}
	s.listed = listed
	maps.DeleteFunc(s.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) > MaxWindow })
}

// Sole returns the only version of a service that was listed within a window before now, and false
// if there were several or none, or if the history does not reach back so far.
func (h *History) Sole(service string, window time.Duration, now time.Time) (version string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.byService[service]
	if s == nil || window > MaxWindow || now.Sub(s.since) < window {
		return "", false
	}
	versions := s.within(window, now)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
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
	return versions
}
