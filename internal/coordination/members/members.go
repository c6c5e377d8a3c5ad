// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"math"
	"slices"
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
	// keyPrefix is the prefix of the members' keys in the store; the name of the
	// member's instance follows.
	keyPrefix = "hookhall/gateways/"
	// leaseTTL is how long a process that has died stays listed.
	leaseTTL = 6 * time.Second
	// renewInterval is the time between two renewals of the lease. Within leaseTTL two
	// renewals may fail.
	renewInterval = 2 * time.Second
	// watchTimeout is how long a watch waits for changes.
	watchTimeout = 8 * time.Second
	// batchDelay is the wait between a watch that returned changes and the next one, so
	// that the changes of many processes that start or stop together form one batch.
	batchDelay = 100 * time.Millisecond
	// minSettleTime is the shortest time that a member is listed before it owns work: by
	// then all others list it, too, and work changes owners at about the same moment
	// everywhere. A change takes longer to reach all of a large fleet, so the time is
	// settleTimePerMember for each member, between minSettleTime and maxSettleTime.
	minSettleTime       = time.Second
	settleTimePerMember = 24 * time.Millisecond
	maxSettleTime       = 3 * time.Second
	// suspectDuration is how long a peer that did not answer is excluded.
	suspectDuration = 1500 * time.Millisecond
	// maxCapacity is the upper limit of the relative capacity ("power") in a member's record:
	// its square has to stay finite.
	maxCapacity = 1e6
	// maxRejectedKeys limits the memory for keys with invalid records. Beyond it all are
	// forgotten, and each key may be logged once more.
	maxRejectedKeys = 1024
	// minCapacity is the effective capacity of members whose record states none, or less.
	minCapacity = 0.05
	// eligibleCapacityShare is the share of the strongest member's capacity that a member
	// needs to own work. Weighting by the square of the capacity alone is not enough: of 295
	// instances, 280 with a quarter of the others' processor got every second role. One of
	// them was overloaded as the broker of a pool; half of all requests were late, and stayed
	// so after the load had ended.
	eligibleCapacityShare = 0.5
	// minEligibleOwners is the minimum number of eligible owners, weaker members included,
	// so that the roles of the fleet do not depend on one or two instances.
	minEligibleOwners = 3
	// minRetryDelay and maxRetryDelay limit the pause between attempts to read the list
	// or to renew the lease.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Members keeps the list of the gateways and this process's registration. It is safe for
// concurrent use.
type Members struct {
	self  hookhall.Member
	store hookhall.Store
	log   *log.Logger

	roster         atomic.Pointer[roster]
	suspectedUntil sync.Map // address to the time.Time when the suspicion ends
	stopping       atomic.Bool
	declining      atomic.Bool                    // this process declines ownership of shared work
	cutOff         atomic.Bool                    // this process can't connect to targets that others reach
	published      atomic.Pointer[availability]   // what its key states of that; not nil
	lease          atomic.Pointer[hookhall.Lease] // nil while this process is not registered
	listedSince    sync.Map                       // address to the time.Time when it was first listed; see firstListed
	storeFailing   atomic.Bool                    // the last call of the store by this process failed
	unlisted       atomic.Bool                    // a list is known, and this process is not on it
	assigned       atomic.Pointer[assignment]     // owners of the roles; nil before the first call
	roleStatuses   atomic.Pointer[[]RoleStatus]   // owners of the roles at the last check; nil before the first

	// Meter counts changes of owners; nil counts none. Set it before Run.
	Meter Meter
	// OnTimer is called about every lagSampleInterval with how late a timer fired. It must not block;
	// it may be nil. Set it before Run.
	OnTimer func(late time.Duration, now time.Time)
	// Roles returns the roles to spread over the members, nil for none; the same pointer as
	// long as they are the same. It may be nil. Set it before Run.
	Roles func() *Roles
	// IsLeader reports whether this process is a leader, which follows the store and sends
	// updates to the others. It returns true by default. Set it before Run.
	IsLeader func() bool

	mu                    sync.Mutex // guards the fields below
	listingByKey          map[string]listing
	keyRemovedAt          map[string]time.Time         // when keys were removed; for updateRetention
	rejectedRevisionByKey map[string]hookhall.Revision // last revision of keys with invalid records
	addressRemovedAt      map[string]time.Time         // when addresses were removed; expired entries are deleted by QuotaPosition
	hasList               bool                         // a list was read from the store or received from a peer
	firstListAt           time.Time                    // when hasList was set
	// restoreSeenAt is when this process first read the list after the store was restored
	// from an older copy, and restoredRevision the store's revision then. restoreSeenAt is
	// zero while no restore is being handled; see finishRestore.
	restoreSeenAt    time.Time
	restoredRevision hookhall.Revision
	revision         hookhall.Revision // store revision of the list; 0 before it was first read
	updatedAt        time.Time         // when an update last confirmed the list; at first when it was read
	hasGap           bool              // an update was missed or a restore ended: the list has to be read
	keptRemoved      bool              // because of a restore, members were kept that the adopted list lacks
	learnedFrom      Source            // of the last change of the list
	wasListed        bool              // this process was on a list that it knew
}

// availability says why a process owns no shared work.
type availability struct {
	isDeclining bool // it lags
	isCutOff    bool // it can't connect to targets that others reach
}

// New returns a Members whose list has only this process, self, and which keeps that
// process's key in store. Run starts it.
func New(self hookhall.Member, store hookhall.Store, logger *log.Logger) *Members {
	m := &Members{
		self: self, store: store, log: logger, IsLeader: func() bool { return true },
		listingByKey: map[string]listing{}, keyRemovedAt: map[string]time.Time{}, rejectedRevisionByKey: map[string]hookhall.Revision{}, addressRemovedAt: map[string]time.Time{},
	}
	m.published.Store(&availability{})
	m.publish()
	return m
}

// Self returns the record of this process as given to New.
func (m *Members) Self() hookhall.Member { return m.self }

// List returns all members that are not suspected at now, sorted by address.
func (m *Members) List(now time.Time) []hookhall.Member {
	all := m.All()
	kept := make([]hookhall.Member, 0, len(all))
	for _, member := range all {
		if !m.isSuspectedPeer(member.Address, now) {
			kept = append(kept, member)
		}
	}
	return kept
}

// isSuspectedPeer reports whether address is another member that is suspected.
func (m *Members) isSuspectedPeer(address string, now time.Time) bool {
	return address != m.self.Address && m.Suspected(address, now)
}

// All returns all members, including suspected ones and this process, sorted by address.
// The caller must not change the slice.
func (m *Members) All() []hookhall.Member { return m.roster.Load().all }

// Rank returns the position of this process in the order of owners of key: 0 for the
// owner, 1 for the standby, 2 for all others.
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

// HasList reports whether a list of members was read from the store or received from a peer.
func (m *Members) HasList() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList
}

// Count returns the number of members, including suspected ones and this process.
func (m *Members) Count() int { return len(m.All()) }

// Suspect records that a peer did not answer, and excludes it for suspectDuration from now.
func (m *Members) Suspect(address string, now time.Time) {
	if _, known := m.suspectedUntil.Swap(address, now.Add(suspectDuration)); !known {
		m.log.Warn("gateway does not answer", "address", address)
	}
}

// Suspected reports whether Suspect excludes a peer at now.
func (m *Members) Suspected(address string, now time.Time) bool {
	v, ok := m.suspectedUntil.Load(address)
	if !ok {
		return false
	}
	if now.After(v.(time.Time)) {
		m.suspectedUntil.Delete(address)
		return false
	}
	return true
}

// Owner returns the member that owns the work named by key, by rendezvous hashing over the
// eligible owners, or over all members if no eligible owner is left. It skips suspected
// peers and the addresses in skip, which may be nil. Members that were first listed less
// than settleTime ago own nothing unless there are no others. A process that is not on the
// list it knows does not own anything, since the others don't know it as owner. If no member
// is left, Owner returns this process. Roles are spread over the eligible owners; see Roles.
func (m *Members) Owner(key string, skip map[string]bool, now time.Time) hookhall.Member {
	r := m.roster.Load()
	isAvailable := func(member hookhall.Member) bool {
		return !skip[member.Address] && !m.isSuspectedPeer(member.Address, now)
	}
	if owner, found := m.roleOwner(r, key, isAvailable, now); found {
		return owner
	}
	isSettled := func(member hookhall.Member) bool { return isAvailable(member) && !m.isNewcomer(member.Address, now) }
	for _, pass := range []struct {
		candidates []hookhall.Member
		accepts    func(hookhall.Member) bool
	}{{r.eligible, isSettled}, {r.candidates, isSettled}, {r.eligible, isAvailable}, {r.candidates, isAvailable}} {
		if best, found := m.chooseOwner(key, pass.candidates, pass.accepts); found {
			return best
		}
	}
	return m.self
}

// chooseOwner returns the member with the highest score for key among the candidates that
// the function accepts allows, and whether there is one. It skips this process while it
// stops.
func (m *Members) chooseOwner(key string, candidates []hookhall.Member, accepts func(hookhall.Member) bool) (best hookhall.Member, found bool) {
	bestScore := 0.0
	for _, member := range candidates {
		if !accepts(member) || (member.Address == m.self.Address && m.stopping.Load()) {
			continue
		}
		if score := ownerScore(key, member); !found || score > bestScore {
			best, bestScore, found = member, score, true
		}
	}
	return best, found
}

// isNewcomer reports whether a member was first listed less than settleTime ago.
func (m *Members) isNewcomer(address string, now time.Time) bool {
	since, ok := m.listedSince.Load(address)
	return !ok || now.Sub(since.(time.Time)) < m.settleTime()
}

// settleTime returns how long a change of the list takes to reach all members.
func (m *Members) settleTime() time.Duration { return settleTimeOf(m.Count()) }

// settleTimeOf is settleTime in a fleet with the given number of members.
func settleTimeOf(count int) time.Duration {
	return max(minSettleTime, min(time.Duration(count)*settleTimePerMember, maxSettleTime))
}

// firstListed returns since when members count as listed that are listed now for the first time.
// Those that this process learns of while it starts count from its first list on, and so does
// this process: it can't tell which of them are newcomers, and otherwise those that it happens to
// list first, itself among them, would own everything until the others have settled.
// m.mu must be held, unless no other goroutine has m yet.
func (m *Members) firstListed(now time.Time) time.Time {
	if m.hasList && now.Sub(m.firstListAt) < settleTimeOf(len(m.listingByKey)) {
		return m.firstListAt
	}
	return now
}

// ownerScore returns the score of a member for a key; the member with the highest score
// is the owner (weighted rendezvous hashing). Members own work in proportion to the square
// of their relative capacity, so that weak ones are seldom chosen.
func ownerScore(key string, member hookhall.Member) float64 {
	hash := xxhash.Sum64String(key + "\x00" + member.Address)
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return -effectiveCapacity(member) * effectiveCapacity(member) / math.Log(unit)
}

// Run registers this process, follows the list and monitors the process's lag and the owners
// of roles until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){m.register, m.follow, m.monitorLag, m.monitorRoles} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// AddFromPeer adds members that a peer has listed, as long as no list was read from the store.
// The store's list replaces them once it can be read.
func (m *Members) AddFromPeer(list []hookhall.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision > 0 {
		return
	}
	for _, member := range list {
		m.listingByKey[keyPrefix+member.Instance] = listing{member: member}
	}
	m.learnedFrom = SourcePeer
	m.markListKnown(clock.Now())
	m.publish()
}

// markListKnown records that a list is known as of now. m.mu must be held.
func (m *Members) markListKnown(now time.Time) {
	if !m.hasList {
		m.hasList, m.firstListAt = true, now
	}
}

// publish replaces the roster by one of the members that are known, and records when
// addresses joined and left. m.mu must be held, unless no other goroutine has m yet.
func (m *Members) publish() {
	now := clock.Now()
	since := m.firstListed(now)
	list := []hookhall.Member{m.advertised()}
	isListed := map[string]bool{m.self.Address: true}
	isSelfListed := false
	for _, l := range m.listingByKey {
		member := l.member
		isSelfListed = isSelfListed || member.Address == m.self.Address
		if !isListed[member.Address] {
			isListed[member.Address] = true
			list = append(list, member)
			m.listedSince.LoadOrStore(member.Address, since)
		}
	}
	if isSelfListed {
		m.listedSince.LoadOrStore(m.self.Address, since)
	}
	for address := range isListed {
		delete(m.addressRemovedAt, address)
	}
	m.listedSince.Range(func(address, _ any) bool {
		if !isListed[address.(string)] {
			m.listedSince.Delete(address)
			m.addressRemovedAt[address.(string)] = now
		}
		return true
	})
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	m.updateUnlisted(m.hasList && !isSelfListed, now)
	r := newRoster(list)
	if m.unlisted.Load() && len(list) > 1 {
		// The others choose among the listed members only.
		r = newRoster(slices.DeleteFunc(slices.Clone(list), func(member hookhall.Member) bool { return member.Address == m.self.Address }))
		r.all = list
	}
	m.roster.Store(r)
	m.log.Info("gateway list updated", "count", len(r.all), "bearers", len(r.eligible))
}

// updateUnlisted records whether this process is missing from the list that it knows. Once it
// is listed again it is a newcomer, as it is to the others. m.mu must be held, unless no other
// goroutine has m yet.
func (m *Members) updateUnlisted(unlisted bool, now time.Time) {
	wasUnlisted := m.unlisted.Swap(unlisted)
	m.wasListed = m.wasListed || (m.hasList && !unlisted)
	switch {
	case unlisted && !wasUnlisted:
		m.listedSince.Delete(m.self.Address)
		if m.wasListed { // else it is starting, and may have read a copy older than its registration
			m.log.Warn("this gateway is no longer listed and owns no shared work")
		}
	case !unlisted && wasUnlisted:
		m.listedSince.LoadOrStore(m.self.Address, now)
	}
}
