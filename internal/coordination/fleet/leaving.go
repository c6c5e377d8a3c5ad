// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"sync"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// peerWordTime is how long a peer's word about a target is believed; it is
	// repeated with every heartbeat.
	peerWordTime = 5 * time.Second
	// mostLeaving bounds what a heartbeat carries.
	mostLeaving = 64
)

// peerWord is what peers say of leaving targets. It is never passed on: a word
// that only peerWord keeps alive would never die.
type peerWord struct{ until sync.Map } // target id to time.Time

func (h *peerWord) add(ids []string, now time.Time) {
	for _, id := range ids[:min(len(ids), mostLeaving)] {
		h.until.Store(id, now.Add(peerWordTime))
	}
}

func (h *peerWord) has(id string, now time.Time) bool {
	v, ok := h.until.Load(id)
	if !ok {
		return false
	}
	if now.Before(v.(time.Time)) {
		return true
	}
	h.until.Delete(id)
	return false
}

// HeardLeaving tells whether a peer said lately that a target is leaving.
func (f *Fleet) HeardLeaving(id string, now time.Time) bool { return f.heard.has(id, now) }

// seenLeaving are the targets that this process's own list shows as leaving.
func (f *Fleet) seenLeaving() []string {
	l := f.listed.Load()
	if l == nil {
		return nil
	}
	var ids []string
	for _, i := range l.Instances {
		if i.Role == hookhall.RoleTarget && i.State == hookhall.InstanceLeaving && len(ids) < mostLeaving {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
