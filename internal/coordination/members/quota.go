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
func (m *Members) QuotaPosition(now time.Time) (count, index int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasList || now.Sub(m.firstListAt) < m.settleTime() {
		return 0, 0
	}
	for address, removedAt := range m.addressRemovedAt {
		if now.Sub(removedAt) > departedShareDuration {
			delete(m.addressRemovedAt, address)
		}
	}
	all := m.All()
	index = slices.IndexFunc(all, func(member hookhall.Member) bool { return member.Address == m.self.Address })
	return len(all) + len(m.addressRemovedAt), index
}
