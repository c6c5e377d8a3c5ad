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

// follow keeps the list: by watches, or by what others tell.
func (m *Members) follow(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	at := hookhall.Revision(0)
	for ctx.Err() == nil {
		if m.settled(clock.Now()) {
			at = 0 // whoever has not registered again is gone
		}
		if m.told(clock.Now()) {
			at = 0 // news may be ahead of an old watch
			retry.Sleep(ctx, look)
			continue
		}
		var err error
		if at == 0 {
			at, err = m.read(ctx)
		} else {
			at, err = m.watch(ctx, at)
		}
		if err != nil {
			if errors.Is(err, hookhall.ErrHistoryGone) {
				at = 0
			}
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// read reads the list and returns the revision to watch from. A copy of some
// seconds ago will do, but for those that tell all others: membership only divides
// work, and news or a watch brings what the copy lacks. Six pages for each of the
// 604 starts of a day of 295 gateways were a third of its 10,215 calls.
func (m *Members) read(ctx context.Context) (hookhall.Revision, error) {
	list := m.store.RangeStale
	if m.Met() && m.Leads() {
		list = m.store.Range
	}
	items, at, err := list(ctx, prefix)
	if err != nil {
		return 0, err
	}
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if at < m.revision {
		return m.revision, nil // news was newer than the copy
	}
	learned := now
	if m.revision == 0 {
		learned = time.Time{} // what is news to a newcomer is none to the others
	}
	if m.revision > 0 && at.Era() > m.revision.Era() {
		m.restored, m.restoredAt = now, at
	}
	listed := map[string]bool{}
	for _, i := range items {
		m.take(i, learned)
		listed[i.Key] = true
	}
	for key := range m.byKey {
		if !listed[key] && m.restored.IsZero() {
			m.remove(key, now)
		}
	}
	at = max(at, 1)
	m.revision, m.heard, m.gap = at, now, false
	m.meet(now)
	m.publish()
	return at, nil
}

// copied tells whether what a later era of the store says of a member is the copy's word.
// The caller holds m.mu.
func (m *Members) copied(was listing, i hookhall.Item) bool {
	return !m.restored.IsZero() && i.Revision <= m.restoredAt && was.item.Revision.Era() < i.Revision.Era()
}

// settled tells, once, that all that live have had the time to register again since the
// store came back from a copy. Until then nobody is taken off the list: work would change
// hands for the restore alone, and those that are gone don't answer.
func (m *Members) settled(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.restored.IsZero() || now.Sub(m.restored) < ttl {
		return false
	}
	m.restored = time.Time{}
	m.gap = true
	return true
}

func (m *Members) watch(ctx context.Context, since hookhall.Revision) (hookhall.Revision, error) {
	events, at, err := m.store.Watch(ctx, prefix, since, watchTime)
	if err != nil {
		return since, err
	}
	m.change(events, at)
	if len(events) > 0 {
		retry.Sleep(ctx, gather)
	}
	return at, nil
}

// change takes in what a watch told, as of a revision of the store.
func (m *Members) change(events []hookhall.Item, at hookhall.Revision) {
	now := clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = max(m.revision, at)
	m.heard = now
	for _, i := range events {
		m.take(i, now)
	}
	if len(events) > 0 {
		m.publish()
	}
}

// take takes in one key, unless it is known to be so. The caller holds m.mu.
func (m *Members) take(i hookhall.Item, now time.Time) {
	if !strings.HasPrefix(i.Key, prefix) {
		return
	}
	was, listed := m.byKey[i.Key]
	switch {
	case listed && m.copied(was, i):
		// It registers again, with what is true now.
	case i.Gone && listed && !m.restored.IsZero():
		// Its lease is gone with what the store has lost, and it registers again.
	case i.Gone && listed:
		m.remove(i.Key, now)
	case !i.Gone && (!listed || was.item.Revision < i.Revision):
		m.takeNew(i, now)
	}
}

// takeNew takes in a member that has registered: if it was silent, that was
// before it did. The caller holds m.mu.
func (m *Members) takeNew(i hookhall.Item, now time.Time) {
	o, err := readMember(i)
	if err != nil {
		m.reject(i, err, now)
		return
	}
	delete(m.rejected, i.Key)
	m.byKey[i.Key] = listing{i, o, now}
	delete(m.gone, i.Key)
	m.suspects.Delete(o.Address)
}

// readMember reads a member's key, which another writer may have written.
func readMember(i hookhall.Item) (hookhall.Member, error) {
	var o hookhall.Member
	if err := json.Unmarshal(i.Value, &o); err != nil {
		return o, errors.Wrap(err, "member")
	}
	if _, err := netip.ParseAddrPort(o.Address); err != nil {
		return o, errors.Wrap(err, "member")
	}
	if o.Power < 0 || o.Power > powerMost {
		return o, errors.Errorf("member: a power of %g", o.Power)
	}
	return o, nil
}

// reject takes in a key that names no member, logged once for each change of it. The
// caller holds m.mu.
func (m *Members) reject(i hookhall.Item, why error, now time.Time) {
	if _, listed := m.byKey[i.Key]; listed {
		m.remove(i.Key, now)
	}
	if m.rejected[i.Key] == i.Revision {
		return
	}
	if len(m.rejected) >= rejectedMost {
		clear(m.rejected)
	}
	m.rejected[i.Key] = i.Revision
	m.log.Warn("A key names no gateway.", "key", i.Key, "bytes", len(i.Value), "error", why.Error())
}

// remove takes a key off the list. The caller holds m.mu.
func (m *Members) remove(key string, now time.Time) {
	delete(m.byKey, key)
	m.gone[key] = now
}
