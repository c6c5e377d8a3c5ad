// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// CompleteList is the whole list of members, for a process that the store does not answer.
type CompleteList struct {
	Revision hookhall.Revision // as of which the sender knows the list; 0 if it knows none
	Digest   uint64            // of Items
	Items    []hookhall.Item   // sorted by key
}

// CompleteList returns the list that this process knows. Its revision is 0 if no list was read
// from the store or adopted from a peer.
func (m *Members) CompleteList() CompleteList {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := CompleteList{Revision: m.revision}
	for _, l := range m.listingByKey {
		if l.item.Key != "" {
			list.Items = append(list.Items, l.item)
			list.Digest ^= l.digest()
		}
	}
	slices.SortFunc(list.Items, func(a, b hookhall.Item) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// NeedsList reports whether this process should fetch the complete list from the sender of an
// update that was already applied: its digest still differs, and the store does not answer
// this process. Otherwise the process reads the store.
func (m *Members) NeedsList(update Update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeFailing.Load() && m.isNewer(update.Revision) && update.Digest != m.digest()
}

// isNewer reports whether a list of a revision may replace this process's list. Of two leaders
// with different revisions, the later list stays. m.mu must be held.
func (m *Members) isNewer(revision hookhall.Revision) bool {
	return revision > m.revision || (revision == m.revision && revision > 0 && m.keptRemoved)
}

// AdoptList replaces the list of a process that the store does not answer by the complete list
// of the peer from, and reports whether it did. The list has to be newer than its own. It need
// not contain this process, which then owns nothing but asks the same owners as the others.
//
// Members that this process knows and that registered later than the list are kept. A later
// removal is undone until the next update, which repeats it. A list without members is not
// adopted: each cut-off process would own everything. A list of a later era comes from a store
// that was restored from an older copy; it is treated as in read.
func (m *Members) AdoptList(list CompleteList, from string, now time.Time) (bool, error) {
	digest := uint64(0)
	isListed := map[string]bool{}
	for _, item := range list.Items {
		member, err := decodeMember(item)
		// Keys that occur twice would cancel out in the digest.
		if err != nil || !strings.HasPrefix(item.Key, keyPrefix) || isListed[item.Key] {
			return false, errors.Errorf("list of %s has the invalid key %q", from, item.Key)
		}
		isListed[item.Key] = true
		digest ^= listing{item: item, member: member}.digest()
	}
	if digest != list.Digest {
		return false, errors.Errorf("list of %s does not match its digest", from)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.storeFailing.Load() || !m.isNewer(list.Revision) || len(list.Items) == 0 {
		return false, nil
	}
	m.noteRestore(list.Revision, now)
	for _, item := range list.Items {
		m.applyItem(item, now)
	}
	m.keptRemoved = false
	for key, l := range m.listingByKey {
		switch {
		case isListed[key] || l.item.Revision > list.Revision:
		case m.restoreSeenAt.IsZero():
			m.removeKey(key, now)
		default:
			m.keptRemoved = true
		}
	}
	m.revision, m.updatedAt, m.hasGap = list.Revision, now, false
	m.learnedFrom = SourcePeer
	m.markListKnown(now)
	m.publish()
	if m.Meter != nil {
		m.Meter.ListAdopted()
	}
	m.log.Info("gateway list adopted from a peer", "peer", from, "revision", list.Revision, "count", len(list.Items), "listed", !m.unlisted.Load())
	return true, nil
}

// The values of Source.
const (
	SourceNone  Source = ""      // no list is known
	SourceStore Source = "store" // read from the store, or a watch of it
	SourcePeer  Source = "peer"  // an update or the list of a peer
)

// Source is where a process learned its list from.
type Source string
