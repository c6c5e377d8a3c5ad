// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package members tells which gateways there are.
//
// # Model
//
// Each process keeps a key under a lease in the platform's store. Two of them
// follow the keys of all by waiting watches and tell the others what changed, as
// they tell what changed of the targets; who is told nothing for some seconds, or
// finds by the digest that it has missed something, reads for itself. A peer that
// does not answer is left out for a while, whatever the store says.
//
// # Invariants
//
//   - Membership only divides work. A wrong list costs time, never a promise:
//     nothing may rest on two processes having the same one.
//   - This process is always in its own list, unless it stops.
package members

import (
	"context"
	"encoding/json"
	"math"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/pkg/errors"
)

const (
	prefix = "hookhall/gateways/"
	// ttl is how long a process that has died stays listed.
	ttl = 6 * time.Second
	// renewEvery leaves two renewals' room for failures.
	renewEvery = 2 * time.Second
	// watchTime is how long a watch waits.
	watchTime = 8 * time.Second
	// gather is how long changes are gathered, since many processes start or stop
	// at once.
	gather = 100 * time.Millisecond
	// newcomer is how long a member has to be listed before it owns work: by then
	// all others list it, too, and work changes hands at about the same moment
	// everywhere. It is longer in a large fleet, which learns of it over a longer
	// way: newcomerStep for each member, newcomerMost at most.
	newcomer     = time.Second
	newcomerStep = 24 * time.Millisecond
	newcomerMost = 3 * time.Second
	// suspectFor is how long a peer that did not answer is left out.
	suspectFor = 1500 * time.Millisecond
	// leastPower stands for members that don't tell theirs.
	leastPower = 0.05
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 2 * time.Second
)

// Members follows the gateways.
type Members struct {
	self  hookhall.Member
	store hookhall.Store
	log   *log.Logger

	list     atomic.Pointer[[]hookhall.Member] // sorted by address, self included
	suspects sync.Map                          // address to time.Time
	stopping atomic.Bool
	lease    atomic.Uint64
	since    sync.Map // address to when it was first listed; self: registered

	// Leads tells whether this process follows the store for others. Set before
	// Run.
	Leads func() bool

	mu       sync.Mutex // for what follows
	byKey    map[string]listing
	gone     map[string]time.Time // keys that went, and when
	revision uint64               // the store's, as of the list; 0 before it was read
	heard    time.Time            // when the list was last read, or confirmed by news
	gap      bool                 // news did not fit: the list is to be read
}

// New makes a Members that knows only this process.
func New(self hookhall.Member, s hookhall.Store, l *log.Logger) *Members {
	m := &Members{
		self: self, store: s, log: l, Leads: func() bool { return true },
		byKey: map[string]listing{}, gone: map[string]time.Time{},
	}
	m.publish()
	return m
}

// Self is this process.
func (m *Members) Self() hookhall.Member { return m.self }

// List has all members that are not suspected, sorted by address.
func (m *Members) List(now time.Time) []hookhall.Member {
	all := *m.list.Load()
	kept := make([]hookhall.Member, 0, len(all))
	for _, o := range all {
		if o.Address == m.self.Address || !m.Suspected(o.Address, now) {
			kept = append(kept, o)
		}
	}
	return kept
}

// All has all members, suspected ones included, sorted by address.
func (m *Members) All() []hookhall.Member { return *m.list.Load() }

// Rank is this process's place in the order of key's owners: 0 for the owner, 1
// for the next one, 2 for all others.
func (m *Members) Rank(key string, now time.Time) int {
	first := m.Owner(key, nil, now)
	if first.Address == m.self.Address {
		return 0
	}
	second := m.Owner(key, map[string]bool{first.Address: true}, now)
	if second.Address == m.self.Address {
		return 1
	}
	return 2
}

// Count is how many members there are, suspected ones included.
func (m *Members) Count() int { return len(*m.list.Load()) }

// Suspect leaves a peer out for a while.
func (m *Members) Suspect(address string, now time.Time) {
	if _, known := m.suspects.Swap(address, now.Add(suspectFor)); !known {
		m.log.Warn("A gateway does not answer.", "address", address)
	}
}

// Suspected tells whether a peer did not answer a moment ago.
func (m *Members) Suspected(address string, now time.Time) bool {
	v, ok := m.suspects.Load(address)
	if !ok {
		return false
	}
	if now.After(v.(time.Time)) {
		m.suspects.Delete(address)
		return false
	}
	return true
}

// Owner is the member that holds the work named by key, by rendezvous hashing.
// skip leaves members out. Newcomers own nothing, unless all are.
func (m *Members) Owner(key string, skip map[string]bool, now time.Time) hookhall.Member {
	list := m.List(now)
	best, found := m.choose(key, list, func(o hookhall.Member) bool { return !skip[o.Address] && !m.fresh(o.Address, now) })
	if !found {
		best, found = m.choose(key, list, func(o hookhall.Member) bool { return !skip[o.Address] })
	}
	if !found {
		return m.self
	}
	return best
}

func (m *Members) choose(key string, list []hookhall.Member, may func(hookhall.Member) bool) (best hookhall.Member, found bool) {
	top := 0.0
	for _, o := range list {
		if !may(o) || (o.Address == m.self.Address && m.stopping.Load()) {
			continue
		}
		if h := weighed(key, o); !found || h > top {
			best, top, found = o, h, true
		}
	}
	return best, found
}

// fresh tells whether a member was listed only a moment ago.
func (m *Members) fresh(address string, now time.Time) bool {
	since, ok := m.since.Load(address)
	young := max(newcomer, min(time.Duration(m.Count())*newcomerStep, newcomerMost))
	return !ok || now.Sub(since.(time.Time)) < young
}

// weighed is the rank of a member for a key: the greatest of all is the owner.
// Members own in proportion to the square of their power, so that weak ones are
// seldom chosen (weighted rendezvous hashing).
func weighed(key string, o hookhall.Member) float64 {
	h := xxhash.Sum64String(key + "\x00" + o.Address)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	power := max(o.Power, leastPower)
	return -power * power / math.Log(unit)
}

// Run follows the store until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); m.register(ctx) }()
	go func() { defer wg.Done(); m.follow(ctx) }()
	wg.Wait()
}

// Leave takes this process off the list: it stops.
func (m *Members) Leave(ctx context.Context) {
	m.stopping.Store(true)
	if lease := m.lease.Swap(0); lease != 0 {
		if err := m.store.Revoke(ctx, lease); err != nil {
			m.log.Warn("Can't give the lease up; it runs out.", "error", err.Error())
		}
	}
}

func (m *Members) register(ctx context.Context) {
	value, err := json.Marshal(m.self)
	if err != nil {
		m.log.Error("Can't encode this member.", "error", err.Error())
		return
	}
	pause := retry.Between(pauseFirst, pauseMost)
	for ctx.Err() == nil && !m.stopping.Load() {
		if err := m.renew(ctx, value); err != nil {
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		retry.Sleep(ctx, retry.Jitter(renewEvery))
	}
}

// renew keeps the lease, or begins a new one with this process's key.
func (m *Members) renew(ctx context.Context, value []byte) error {
	if lease := m.lease.Load(); lease != 0 {
		err := m.store.Renew(ctx, lease)
		if !errors.Is(err, hookhall.ErrLeaseGone) {
			return err
		}
		m.lease.CompareAndSwap(lease, 0)
	}
	lease, err := m.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	if err := m.store.Put(ctx, prefix+m.self.Instance, value, lease); err != nil {
		return err
	}
	if !m.stopping.Load() {
		m.lease.Store(lease)
		m.since.LoadOrStore(m.self.Address, time.Now())
		m.log.Info("Registered.", "lease", lease)
	}
	return nil
}

// Meet takes in members that a peer listed. The store's own list, once it can be
// read, takes their place.
func (m *Members) Meet(list []hookhall.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision > 0 {
		return
	}
	for _, o := range list {
		m.byKey[prefix+o.Instance] = listing{member: o}
	}
	m.publish()
}

// follow keeps the list: by watches, or by what others tell.
func (m *Members) follow(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	at := uint64(0)
	for ctx.Err() == nil {
		if m.told(time.Now()) {
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

func (m *Members) read(ctx context.Context) (uint64, error) {
	items, at, err := m.store.Range(ctx, prefix)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	learned := now
	if m.revision == 0 {
		learned = time.Time{} // what is news to a newcomer is none to the others
	}
	listed := map[string]bool{}
	for _, i := range items {
		m.take(i, learned)
		listed[i.Key] = true
	}
	for key := range m.byKey {
		if !listed[key] {
			m.remove(key, now)
		}
	}
	at = max(at, 1)
	m.revision, m.heard, m.gap = at, now, false
	m.publish()
	return at, nil
}

func (m *Members) watch(ctx context.Context, since uint64) (uint64, error) {
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
func (m *Members) change(events []hookhall.Item, at uint64) {
	now := time.Now()
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
	case i.Gone && listed:
		m.remove(i.Key, now)
	case !i.Gone && (!listed || was.item.Revision < i.Revision):
		m.takeNew(i, now)
	}
}

// takeNew takes in a member that has registered: if it was silent, that was
// before it did. The caller holds m.mu.
func (m *Members) takeNew(i hookhall.Item, now time.Time) {
	var o hookhall.Member
	if err := json.Unmarshal(i.Value, &o); err != nil {
		m.log.Error("A member's key can't be read.", "key", i.Key, "error", err.Error())
		return
	}
	m.byKey[i.Key] = listing{i, o, now}
	delete(m.gone, i.Key)
	m.suspects.Delete(o.Address)
}

// remove takes a key off the list. The caller holds m.mu.
func (m *Members) remove(key string, now time.Time) {
	delete(m.byKey, key)
	m.gone[key] = now
}

func (m *Members) publish() {
	now := time.Now()
	list := []hookhall.Member{m.self}
	listed := map[string]bool{m.self.Address: true}
	for _, l := range m.byKey {
		o := l.member
		if !listed[o.Address] {
			listed[o.Address] = true
			list = append(list, o)
			m.since.LoadOrStore(o.Address, now)
		}
	}
	m.since.Range(func(address, _ any) bool {
		if !listed[address.(string)] {
			m.since.Delete(address)
		}
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	m.list.Store(&list)
	m.log.Info("The gateways.", "count", len(list))
}
