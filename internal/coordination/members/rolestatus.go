// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"slices"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// roleCheckInterval is how often the owners of the roles are compared with the last ones.
const roleCheckInterval = 250 * time.Millisecond

// Meter counts changes of the owners of roles.
type Meter interface {
	// RoleMoved counts a change of a role's owner by this process's list, which it learned from
	// the given source.
	RoleMoved(role, source string)
	// ListAdopted counts a complete list that was adopted from a peer.
	ListAdopted()
}

// RoleStatus is the owner of a role by this process's list.
type RoleStatus struct {
	Role    string    `json:"role"`
	Owner   string    `json:"owner"` // address
	IsSelf  bool      `json:"self"`
	Since   time.Time `json:"since"`        // when this process noticed the owner
	Learned Source    `json:"learned_from"` // of the list at that time
}

// RoleStatuses returns the owners of all roles in their order, as of the last check.
func (m *Members) RoleStatuses() []RoleStatus {
	if list := m.roleStatuses.Load(); list != nil {
		return *list
	}
	return nil
}

// Listed reports whether this process is on the list that it knows, and where it learned that
// list from.
func (m *Members) Listed() (listed bool, from Source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasList && !m.unlisted.Load(), m.learnedFrom
}

// monitorRoles logs and counts changes of the owners of roles until ctx ends.
func (m *Members) monitorRoles(ctx context.Context) {
	for retry.Sleep(ctx, roleCheckInterval) {
		m.checkRoles(clock.Now())
	}
}

// checkRoles compares the owners of the roles at now with the last ones.
func (m *Members) checkRoles(now time.Time) {
	roles := m.roles()
	if roles == nil {
		return
	}
	_, source := m.Listed()
	before := m.RoleStatuses()
	var list []RoleStatus
	for _, role := range roles.keys {
		owner := m.Owner(role, nil, now).Address
		status := RoleStatus{Role: role, Owner: owner, IsSelf: owner == m.self.Address, Since: now, Learned: source}
		i := slices.IndexFunc(before, func(s RoleStatus) bool { return s.Role == role })
		switch {
		case i >= 0 && before[i].Owner == owner:
			status = before[i]
		case i >= 0:
			m.log.Info("role has another owner", "role", role, "owner", owner, "before", before[i].Owner, "self", status.IsSelf, "learned_from", source)
			if m.Meter != nil {
				m.Meter.RoleMoved(role, string(source))
			}
		default:
			m.log.Debug("role has its first owner", "role", role, "owner", owner, "self", status.IsSelf, "learned_from", source)
		}
		list = append(list, status)
	}
	m.roleStatuses.Store(&list)
}
