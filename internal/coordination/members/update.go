// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

const (
	// tellFor is for how long a change is told again with each piece of news.
	tellFor = 3 * time.Second
	// toldMost is how long a process that is told by others goes without news
	// before it follows the store itself.
	toldMost = 3 * time.Second
	// look is how often it looks whether it has to.
	look = 200 * time.Millisecond
)

// News is what the store's list of members changed lately. A process that has all
// earlier changes gets to the same list, which the digest proves.
type News struct {
	// Revision is the store's, as of the list.
	Revision hookhall.Revision
	Digest   uint64
	Changed  []hookhall.Item
	Gone     []string // keys
}

// listing is one member's key.
type listing struct {
	item    hookhall.Item
	member  hookhall.Member
	changed time.Time // when this process learned it
}

// digest of one key; a member that registers anew has another one.
func (l listing) digest() uint64 {
	return xxhash.Sum64String(l.item.Key + "\x00" + l.member.Address + "\x00" + strconv.FormatUint(uint64(l.item.Revision), 36))
}

// digest of the whole list. The caller holds m.mu.
func (m *Members) digest() uint64 {
	sum := uint64(0)
	for _, l := range m.byKey {
		sum ^= l.digest()
	}
	return sum
}

// News is what this process last learned of the members; empty if others follow
// the store for it.
func (m *Members) News(now time.Time) News {
	if !m.Leads() {
		return News{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := News{Revision: m.revision, Digest: m.digest()}
	for _, l := range m.byKey {
		if now.Sub(l.changed) <= tellFor {
			n.Changed = append(n.Changed, l.item)
		}
	}
	for key, at := range m.gone {
		if now.Sub(at) <= tellFor {
			n.Gone = append(n.Gone, key)
		} else {
			delete(m.gone, key)
		}
	}
	sort.Slice(n.Changed, func(i, j int) bool { return n.Changed[i].Key < n.Changed[j].Key })
	sort.Strings(n.Gone)
	return n
}

// LearnNews takes in what a peer has learned. If this process lacks earlier
// changes, its digest differs, and it reads for itself.
func (m *Members) LearnNews(n News, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Revision < m.revision || n.Revision == 0 {
		if n.Digest == m.digest() {
			m.heard = now // the same list, from before this process's own reading
		}
		return
	}
	changed := false
	for _, i := range n.Changed {
		if m.byKey[i.Key].item.Revision < i.Revision {
			m.takeNew(i, now)
			changed = true
		}
	}
	for _, key := range n.Gone {
		if _, ok := m.byKey[key]; ok {
			m.remove(key, now)
			changed = true
		}
	}
	if m.digest() != n.Digest {
		m.gap = true
	} else {
		m.heard, m.revision = now, n.Revision
	}
	if changed {
		m.publish()
	}
}

// told tells whether others keep this process up to date: then it need not follow
// the store itself.
func (m *Members) told(now time.Time) bool {
	if m.Leads() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gap {
		m.gap = false
		return false
	}
	return m.revision > 0 && now.Sub(m.heard) < toldMost
}
