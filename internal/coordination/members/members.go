// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
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
	// powerMost bounds the power that a member may tell: its square has to be a number.
	powerMost = 1e6
	// rejectedMost bounds the keys that are remembered as naming no member.
	rejectedMost = 1024
	// leastPower stands for members that don't tell theirs.
	leastPower = 0.05
	// bearerShare is the part of the strongest member's power that a member needs
	// to own work. On 295 instances of which 280 have a quarter of the others'
	// processor, the square of power alone gave weak ones every second role: one
	// that brokered a pool was full, half of all requests were late, and stayed so
	// after the load had gone.
	bearerShare = 0.5
	// leastBearers is how many members own work at least, weaker ones included: a
	// fleet's roles are not to hang on one or two instances.
	leastBearers = 3
	pauseFirst   = 100 * time.Millisecond
	pauseMost    = 2 * time.Second
)

// Members follows the gateways.
type Members struct {
	self  hookhall.Member
	store hookhall.Store
	log   *log.Logger

	list     atomic.Pointer[roster]
	suspects sync.Map // address to time.Time
	stopping atomic.Bool
	resting  atomic.Bool                    // this process asks to own no work
	said     atomic.Bool                    // what its key says of that
	lease    atomic.Pointer[hookhall.Lease] // nil for none
	since    sync.Map                       // address to when it was first listed; self: registered

	// Leads tells whether this process follows the store for others. Set before
	// Run.
	Leads func() bool

	mu       sync.Mutex // for what follows
	byKey    map[string]listing
	gone     map[string]time.Time         // keys that went, and when
	rejected map[string]hookhall.Revision // keys that name no member, with their revisions
	left     map[string]time.Time         // addresses that left the list, and when
	met      bool                         // a list is known, from the store or a peer
	metAt    time.Time                    // when the first one became known
	// restored is when this process read the list first after the store had come back from a
	// copy, zero once that has settled, and restoredAt the store's revision then.
	restored   time.Time
	restoredAt hookhall.Revision
	revision   hookhall.Revision // the store's, as of the list; 0 before it was read
	heard      time.Time         // when the list was last read, or confirmed by news
	gap        bool              // news did not fit: the list is to be read
}

// New makes a Members that knows only this process.
func New(self hookhall.Member, s hookhall.Store, l *log.Logger) *Members {
	m := &Members{
		self: self, store: s, log: l, Leads: func() bool { return true },
		byKey: map[string]listing{}, gone: map[string]time.Time{}, rejected: map[string]hookhall.Revision{}, left: map[string]time.Time{},
	}
	m.publish()
	return m
}

// Self is this process.
func (m *Members) Self() hookhall.Member { return m.self }

// List has all members that are not suspected, sorted by address.
func (m *Members) List(now time.Time) []hookhall.Member {
	all := m.All()
	kept := make([]hookhall.Member, 0, len(all))
	for _, o := range all {
		if !m.silent(o.Address, now) {
			kept = append(kept, o)
		}
	}
	return kept
}

// silent tells whether another member did not answer a moment ago.
func (m *Members) silent(address string, now time.Time) bool {
	return address != m.self.Address && m.Suspected(address, now)
}

// All has all members, suspected ones included, sorted by address.
func (m *Members) All() []hookhall.Member { return m.list.Load().all }

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

// Met tells whether other members than this process are known, or that there are
// none.
func (m *Members) Met() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.met
}

// Count is how many members there are, suspected ones included.
func (m *Members) Count() int { return len(m.All()) }

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

// Owner is the member that holds the work named by key, by rendezvous hashing over
// the members that are strong enough; over all when none of those is left. skip
// leaves members out. Newcomers own nothing, unless all are.
func (m *Members) Owner(key string, skip map[string]bool, now time.Time) hookhall.Member {
	r := m.list.Load()
	may := func(o hookhall.Member) bool { return !skip[o.Address] && !m.silent(o.Address, now) }
	settled := func(o hookhall.Member) bool { return may(o) && !m.fresh(o.Address, now) }
	for _, try := range []struct {
		list []hookhall.Member
		may  func(hookhall.Member) bool
	}{{r.bearers, settled}, {r.all, settled}, {r.bearers, may}, {r.all, may}} {
		if best, found := m.choose(key, try.list, try.may); found {
			return best
		}
	}
	return m.self
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
	return !ok || now.Sub(since.(time.Time)) < m.settleTime()
}

// settleTime is how long a change of the list takes to get around.
func (m *Members) settleTime() time.Duration {
	return max(newcomer, min(time.Duration(m.Count())*newcomerStep, newcomerMost))
}

// weighed is the rank of a member for a key: the greatest of all is the owner.
// Members own in proportion to the square of their power, so that weak ones are
// seldom chosen (weighted rendezvous hashing).
func weighed(key string, o hookhall.Member) float64 {
	h := xxhash.Sum64String(key + "\x00" + o.Address)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -power(o) * power(o) / math.Log(unit)
}

// Run follows the store until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){m.register, m.follow, m.watchLag} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
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
	m.meet(clock.Now())
	m.publish()
}

// meet takes in that a list is known. The caller holds m.mu.
func (m *Members) meet(now time.Time) {
	if !m.met {
		m.met, m.metAt = true, now
	}
}

// publish makes the list of what is known. The caller holds m.mu, or has the only
// reference.
func (m *Members) publish() {
	now := clock.Now()
	list := []hookhall.Member{m.own()}
	listed := map[string]bool{m.self.Address: true}
	for _, l := range m.byKey {
		o := l.member
		if !listed[o.Address] {
			listed[o.Address] = true
			list = append(list, o)
			m.since.LoadOrStore(o.Address, now)
		}
	}
	for address := range listed {
		delete(m.left, address)
	}
	m.since.Range(func(address, _ any) bool {
		if !listed[address.(string)] {
			m.since.Delete(address)
			m.left[address.(string)] = now
		}
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	r := newRoster(list)
	m.list.Store(r)
	m.log.Info("The gateways.", "count", len(r.all), "bearers", len(r.bearers))
}
