// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import "time"

// shareFor is for how long a member that left the list is counted among those
// that share the fleet's limits. Leases also run out in an outage of the store,
// and then the processes are well and go on spending; it covers an outage of a
// minute.
const shareFor = time.Minute

// Sharers is how many processes may be spending what the whole fleet shares: the
// members, and those that left the list a short while ago. It is 0 while no list
// is known.
func (m *Members) Sharers(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.met {
		return 0
	}
	for address, at := range m.left {
		if now.Sub(at) > shareFor {
			delete(m.left, address)
		}
	}
	return m.Count() + len(m.left)
}
