// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// shareFor is for how long a member that left the list is counted among those
// that share the fleet's limits. Leases also run out in an outage of the store,
// and then the processes are well and go on spending; it covers an outage of a
// minute.
const shareFor = time.Minute

// Sharers is how many processes may be spending what the whole fleet shares, and this
// process's place among the members: the members, and those that left the list a short
// while ago. The count is 0 while no list is known that has settled: one that was read at a
// start lacks the processes that start at the same moment, and each of them would take
// the whole for its own.
func (m *Members) Sharers(now time.Time) (count, place int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.met || now.Sub(m.metAt) < m.settleTime() {
		return 0, 0
	}
	for address, at := range m.left {
		if now.Sub(at) > shareFor {
			delete(m.left, address)
		}
	}
	all := m.All()
	place = slices.IndexFunc(all, func(o hookhall.Member) bool { return o.Address == m.self.Address })
	return len(all) + len(m.left), place
}
