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
	// updateRetention is how long a change stays part of each update, so that a process
	// that misses one update still receives the change.
	updateRetention = 3 * time.Second
	// maxUpdateAge is how long after the last update a process that is no leader begins to
	// follow the store itself.
	maxUpdateAge = 3 * time.Second
	// followCheckInterval is the time between two checks of such a process whether its last
	// update is older than maxUpdateAge.
	followCheckInterval = 200 * time.Millisecond
)

// Update holds the recent changes of the store's list of members. A process that has all
// earlier changes arrives at the same list, which the digest verifies.
type Update struct {
	// Revision is the store's revision of the list; 0 in an empty update.
	Revision hookhall.Revision
	Digest   uint64          // of the whole list of the sender
	Changed  []hookhall.Item // changed within updateRetention, sorted by key
	Gone     []string        // keys removed within updateRetention, sorted
}

// listing is a member with its key in the store. The item is zero for members that are
// known from a peer only.
type listing struct {
	item      hookhall.Item
	member    hookhall.Member
	learnedAt time.Time // when this process received it; zero for the first read
}

// digest returns the hash of the key, address and revision; it changes with each
// registration of the member.
func (l listing) digest() uint64 {
	return xxhash.Sum64String(l.item.Key + "\x00" + l.member.Address + "\x00" + strconv.FormatUint(uint64(l.item.Revision), 36))
}

// digest returns the hash of the whole list, in any order. m.mu must be held.
func (m *Members) digest() uint64 {
	sum := uint64(0)
	for _, l := range m.listingByKey {
		sum ^= l.digest()
	}
	return sum
}

// OutgoingUpdate returns the update that this process sends as of now. It is empty if this
// process is no leader, or if the store does not answer it: its list would be confirmed to
// processes that the store answers, and they would not read the current one.
func (m *Members) OutgoingUpdate(now time.Time) Update {
	if !m.IsLeader() || m.storeFailing.Load() {
		return Update{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	update := Update{Revision: m.revision, Digest: m.digest()}
	for _, l := range m.listingByKey {
		if now.Sub(l.learnedAt) <= updateRetention {
			update.Changed = append(update.Changed, l.item)
		}
	}
	m.expireRemovedKeys(now)
	for key := range m.keyRemovedAt {
		update.Gone = append(update.Gone, key)
	}
	sort.Slice(update.Changed, func(i, j int) bool { return update.Changed[i].Key < update.Changed[j].Key })
	sort.Strings(update.Gone)
	return update
}

// expireRemovedKeys drops the removed keys that updates no longer contain. m.mu must be held.
func (m *Members) expireRemovedKeys(now time.Time) {
	for key, removedAt := range m.keyRemovedAt {
		if now.Sub(removedAt) > updateRetention {
			delete(m.keyRemovedAt, key)
		}
	}
}

// ApplyUpdate applies an update that a leader sent. If this process lacks earlier changes,
// its digest differs and it reads the list from the store.
func (m *Members) ApplyUpdate(update Update, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Revision < m.revision || update.Revision == 0 {
		if update.Digest == m.digest() {
			m.updatedAt = now // the same list, at an older revision than this process has read
		}
		return
	}
	isChanged := false
	for _, item := range update.Changed {
		if m.listingByKey[item.Key].item.Revision < item.Revision {
			m.addMember(item, now)
			isChanged = true
		}
	}
	for _, key := range update.Gone {
		if _, ok := m.listingByKey[key]; ok {
			m.removeKey(key, now)
			isChanged = true
		}
	}
	if m.digest() != update.Digest {
		m.hasGap = true
	} else {
		m.noteRestore(update.Revision, now)
		m.updatedAt, m.revision = now, update.Revision
	}
	if isChanged {
		m.learnedFrom = SourcePeer
		m.publish()
	}
}

// isKeptCurrent reports whether the updates of a leader keep this process current, so that
// it need not follow the store. It returns false once after a missed update, and the caller
// then reads the list.
func (m *Members) isKeptCurrent(now time.Time) bool {
	if m.IsLeader() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasGap {
		m.hasGap = false
		return false
	}
	return m.revision > 0 && now.Sub(m.updatedAt) < maxUpdateAge
}
