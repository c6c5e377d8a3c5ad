// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// departedShareDuration is how long a member that left the list still counts among the
// processes that share the fleet's limits. Leases also expire in an outage of the store,
// while their processes still run and use the limits; a minute covers an outage of that
// length.
const departedShareDuration = time.Minute

// QuotaPosition returns the number of processes that may be using the limits of the whole fleet,
// and the index of this process among the members in the order of their addresses. It
// counts the members and those that left the list within departedShareDuration. Both
// results are 0 until settleTime has passed since a list was first known: a list that is
// read at the start lacks the processes that start at the same moment, and each of them
// would use the whole limit.
//
// A process that is missing from the store's list has an index after those of all members, in
// the order of the addresses that left the list. It counts those for as long as it is not
// listed, so that its part of the limits does not grow while it serves without the store.
func (m *Members) QuotaPosition(now time.Time) (count, index int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasList || now.Sub(m.firstListAt) < m.settleTime() {
		return 0, 0
	}
	m.forgetDeparted(now)
	all := m.All()
	count = len(all) + len(m.addressRemovedAt)
	if !m.isDelisted() {
		return count, slices.IndexFunc(all, func(member hookhall.Member) bool { return member.Address == m.self.Address })
	}
	index = len(all) - 1 // all has this process
	for address := range m.addressRemovedAt {
		if address < m.self.Address {
			index++
		}
	}
	return count, index
}

// isDelisted reports whether this process is missing from a list of the store, which it has read
// or learned from peers. Members that AddFromPeer added are no such list. m.mu must be held.
func (m *Members) isDelisted() bool { return m.unlisted.Load() && m.revision > 0 }

// forgetDeparted deletes the addresses that left the list longer than departedShareDuration
// ago, unless this process is not listed. m.mu must be held.
func (m *Members) forgetDeparted(now time.Time) {
	if m.isDelisted() {
		return
	}
	for address, removedAt := range m.addressRemovedAt {
		if now.Sub(removedAt) > departedShareDuration {
			delete(m.addressRemovedAt, address)
		}
	}
}

// Sharers returns the addresses of the processes among which a limit of a target is shared:
// the members, and for a process that is not listed also those that left the list, as it
// counted them before. The order is not defined.
func (m *Members) Sharers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, member := range m.All() {
		addresses = append(addresses, member.Address)
	}
	if m.isDelisted() {
		for address := range m.addressRemovedAt {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
