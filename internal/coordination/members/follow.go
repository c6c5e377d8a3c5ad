// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// follow keeps the list current until ctx ends: by watches of the store, or by the updates
// of a leader while those arrive.
func (m *Members) follow(ctx context.Context) {
	backoff := retry.NewWithDelays(minRetryDelay, maxRetryDelay)
	revision := hookhall.Revision(0)
	for ctx.Err() == nil {
		if m.finishRestore(clock.Now()) {
			revision = 0 // reading removes members that have not registered again
		}
		if m.isKeptCurrent(clock.Now()) {
			revision = 0 // updates may be ahead of the revision of an old watch
			retry.Sleep(ctx, followCheckInterval)
			continue
		}
		var err error
		if revision == 0 {
			revision, err = m.read(ctx)
		} else {
			revision, err = m.watch(ctx, revision)
		}
		if err != nil {
			if errors.Is(err, hookhall.ErrHistoryGone) {
				revision = 0
			} else {
				m.storeFailing.Store(true)
			}
			backoff.Wait(ctx)
			continue
		}
		m.storeFailing.Store(false)
		backoff.Reset()
	}
}

// read reads the list from the store and returns the revision to watch from. Leaders that
// have a list read the current one; other processes read a copy that may be some seconds
// old, since membership only divides work and updates or a watch bring what the copy
// lacks. Current reads by all are expensive: six pages for each of the 604 starts in a
// day of 295 gateways were a third of the day's 10,215 store calls.
func (m *Members) read(ctx context.Context) (hookhall.Revision, error) {
	readItems := m.store.RangeStale
	if m.HasList() && m.IsLeader() {
		readItems = m.store.Range
	}
	items, revision, err := readItems(ctx, keyPrefix)
	if err != nil {
		return 0, err
	}
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision {
		return m.revision, nil // updates were newer than the copy
	}
	learnedAt := now
	if m.revision == 0 {
		learnedAt = time.Time{} // a first read is no change that others lack
	}
	m.noteRestore(revision, now)
	isListed := map[string]bool{}
	for _, item := range items {
		m.applyItem(item, learnedAt)
		isListed[item.Key] = true
	}
	for key := range m.listingByKey {
		if !isListed[key] && m.restoreSeenAt.IsZero() {
			m.removeKey(key, now)
		}
	}
	revision = max(revision, 1)
	if m.revision == 0 {
		m.updatedAt = now // a leader is about to send its first update
	}
	m.revision, m.hasGap, m.keptRemoved = revision, false, false
	m.learnedFrom = SourceStore
	m.markListKnown(now)
	m.publish()
	return revision, nil
}

// noteRestore begins the handling of a restore of the store from an older copy if a list of the
// given revision, which is about to replace this process's, is of a later era. The list may also
// be that of a peer: a read afterwards would no longer show that the era has changed. m.mu must
// be held.
func (m *Members) noteRestore(revision hookhall.Revision, now time.Time) {
	if m.revision > 0 && revision.Era() > m.revision.Era() {
		m.restoreSeenAt, m.restoredRevision = now, revision
	}
}

// isRestoredCopy reports whether item was part of the copy that the store was restored from
// while previous is of an earlier era, so that item may be older than previous although its
// revision is greater. m.mu must be held.
func (m *Members) isRestoredCopy(previous listing, item hookhall.Item) bool {
	return !m.restoreSeenAt.IsZero() && item.Revision <= m.restoredRevision && previous.item.Revision.Era() < item.Revision.Era()
}

// finishRestore ends the handling of a restore of the store from an older copy once leaseTTL
// has passed, by when all running members had the time to register again. It returns true
// once, and the caller then reads the list, unless a leader keeps this process current. Until
// then no member is removed: work would change owners because of the restore alone, and
// members that have stopped are excluded because they don't answer.
func (m *Members) finishRestore(now time.Time) bool {
	isLeader := m.IsLeader()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.restoreSeenAt.IsZero() || now.Sub(m.restoreSeenAt) < leaseTTL {
		return false
	}
	m.restoreSeenAt = time.Time{}
	if !isLeader && !m.hasGap && now.Sub(m.updatedAt) < maxUpdateAge {
		return false
	}
	m.hasGap = true
	return true
}

// watch waits for changes after since, applies them and returns the revision to watch
// from next. After changes it waits for batchDelay.
func (m *Members) watch(ctx context.Context, since hookhall.Revision) (hookhall.Revision, error) {
	events, revision, err := m.store.Watch(ctx, keyPrefix, since, watchTimeout)
	if err != nil {
		return since, err
	}
	m.applyEvents(events, revision)
	if len(events) > 0 {
		retry.Sleep(ctx, batchDelay)
	}
	return revision, nil
}

// applyEvents applies the changes that a watch returned, as of a revision of the store.
func (m *Members) applyEvents(events []hookhall.Item, revision hookhall.Revision) {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = max(m.revision, revision)
	for _, item := range events {
		m.applyItem(item, now)
	}
	if len(events) > 0 {
		m.learnedFrom = SourceStore
		m.publish()
	}
}

// applyItem applies the current state of one key, unless it is known already or a restore
// makes it unreliable. now is the time of the change for later updates, zero if it is not to
// be reported. m.mu must be held.
func (m *Members) applyItem(item hookhall.Item, now time.Time) {
	if !strings.HasPrefix(item.Key, keyPrefix) {
		return
	}
	previous, listed := m.listingByKey[item.Key]
	switch {
	case listed && m.isRestoredCopy(previous, item):
		// An outdated record: the member registers again with its current state.
	case item.Deleted && listed && !m.restoreSeenAt.IsZero():
		// The restore lost its lease; the member registers again.
	case item.Deleted && listed:
		m.removeKey(item.Key, now)
	case !item.Deleted && (!listed || previous.item.Revision < item.Revision):
		m.addMember(item, now)
	}
}

// addMember adds or replaces the member that item describes. It clears a suspicion of that
// member, which dates from before its registration. An invalid item is rejected. m.mu must
// be held.
func (m *Members) addMember(item hookhall.Item, now time.Time) {
	member, err := decodeMember(item)
	if err != nil {
		m.rejectItem(item, err, now)
		return
	}
	delete(m.rejectedRevisionByKey, item.Key)
	m.listingByKey[item.Key] = listing{item, member, now}
	delete(m.keyRemovedAt, item.Key)
	m.suspectedUntil.Delete(member.Address)
}

// decodeMember decodes and checks a member's record. The key may have been written by
// another program, so that any value is possible.
func decodeMember(item hookhall.Item) (hookhall.Member, error) {
	var member hookhall.Member
	if err := json.Unmarshal(item.Value, &member); err != nil {
		return member, errors.Wrap(err, "member")
	}
	if _, err := netip.ParseAddrPort(member.Address); err != nil {
		return member, errors.Wrap(err, "member")
	}
	if member.RelativeCapacity < 0 || member.RelativeCapacity > maxCapacity {
		return member, errors.Errorf("member: power %g is not between 0 and the maximum", member.RelativeCapacity)
	}
	return member, nil
}

// rejectItem removes a member whose record became invalid for the given reason, and logs that
// once per revision of the key. m.mu must be held.
func (m *Members) rejectItem(item hookhall.Item, reason error, now time.Time) {
	if _, listed := m.listingByKey[item.Key]; listed {
		m.removeKey(item.Key, now)
	}
	if m.rejectedRevisionByKey[item.Key] == item.Revision {
		return
	}
	if len(m.rejectedRevisionByKey) >= maxRejectedKeys {
		clear(m.rejectedRevisionByKey)
	}
	m.rejectedRevisionByKey[item.Key] = item.Revision
	m.log.Warn("invalid gateway record ignored", "key", item.Key, "bytes", len(item.Value), "error", reason.Error())
}

// removeKey removes a key from the list as of now. m.mu must be held.
func (m *Members) removeKey(key string, now time.Time) {
	delete(m.listingByKey, key)
	m.expireRemovedKeys(now)
	m.keyRemovedAt[key] = now
}
