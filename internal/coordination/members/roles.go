// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// Roles are the keys of the fleet's continuous shared work, the brokers and placement owners
// of services. They are spread over the eligible members: two brokers and a placement owner on
// one process made its requests late, while other strong members owned nothing.
type Roles struct {
	keys  []string // in the order in which they choose their owners
	isKey map[string]bool
}

// NewRoles returns the roles with the given keys, in an order that all processes have to
// agree on.
func NewRoles(keys []string) *Roles {
	r := &Roles{keys: keys, isKey: map[string]bool{}}
	for _, key := range keys {
		r.isKey[key] = true
	}
	return r
}

// assignment is the owner of each role, for one roster and one set of roles. It is immutable.
type assignment struct {
	roster   *roster
	roles    *Roles
	validTo  time.Time                  // when the next newcomer has settled; zero if there is none
	owner    map[string]hookhall.Member // empty if roles have the same owners as other keys
	isBearer map[string]bool            // addresses that own a role
	// candidates are the members that may own roles: the settled eligible members.
	candidates []hookhall.Member
}

// roleOwner returns the owner of a role, and false if key is none or no member that may own
// roles is left. The arguments are those of Owner. If the assigned owner is not available,
// the next in its order takes its place, of those that own no role if there are any. That is
// the owner that the role has once that member has left the list, unless other roles move.
func (m *Members) roleOwner(r *roster, key string, isAvailable func(hookhall.Member) bool, now time.Time) (hookhall.Member, bool) {
	roles := m.roles()
	if roles == nil || !roles.isKey[key] {
		return hookhall.Member{}, false
	}
	a := m.assignment(r, roles, now)
	owner, ok := a.owner[key]
	switch {
	case !ok:
		return hookhall.Member{}, false
	case isAvailable(owner) && !(owner.Address == m.self.Address && m.stopping.Load()):
		return owner, true
	}
	isIdle := func(member hookhall.Member) bool { return !a.isBearer[member.Address] && isAvailable(member) }
	if member, found := m.chooseOwner(key, a.candidates, isIdle); found {
		return member, true
	}
	return m.chooseOwner(key, a.candidates, isAvailable)
}

// roles returns the current roles, nil if there are none.
func (m *Members) roles() *Roles {
	if m.Roles == nil {
		return nil
	}
	return m.Roles()
}

// assignment returns the owners of all roles. They are computed again only after a change of
// the list, of the roles or of the settled members, as Owner is called several times per
// request.
func (m *Members) assignment(r *roster, roles *Roles, now time.Time) *assignment {
	a := m.assigned.Load()
	if a == nil || a.roster != r || a.roles != roles || (!a.validTo.IsZero() && !now.Before(a.validTo)) {
		a = m.assignRoles(r, roles, now)
		m.assigned.Store(a)
	}
	return a
}

// assignRoles chooses the owner of each role in their order: the first member in the role's
// order of owners that owns no role yet, or the first of all once each owns one. If the members
// have the same capacity and are fewer than the roles, these have the same owners as other
// keys: some member has to own several in any case.
func (m *Members) assignRoles(r *roster, roles *Roles, now time.Time) *assignment {
	a := &assignment{roster: r, roles: roles, owner: map[string]hookhall.Member{}, isBearer: map[string]bool{}}
	a.candidates, a.validTo = m.settledMembers(r, now)
	if len(a.candidates) < len(roles.keys) && haveEqualCapacity(r.candidates) {
		return a
	}
	for _, key := range roles.keys {
		var best hookhall.Member
		bestScore, found, bestIsBearer := 0.0, false, false
		for _, member := range a.candidates {
			isBearer, score := a.isBearer[member.Address], ownerScore(key, member)
			if !found || (bestIsBearer && !isBearer) || (bestIsBearer == isBearer && score > bestScore) {
				best, bestScore, found, bestIsBearer = member, score, true, isBearer
			}
		}
		if found {
			a.owner[key] = best
			a.isBearer[best.Address] = true
		}
	}
	return a
}

// settledMembers returns the members that may own roles, those of the first kind of which
// there are any in the order of Owner, and when the next newcomer settles.
func (m *Members) settledMembers(r *roster, now time.Time) (settled []hookhall.Member, validTo time.Time) {
	settle := m.settleTime()
	isSettled := func(member hookhall.Member) bool {
		since, ok := m.listedSince.Load(member.Address)
		if !ok {
			return false
		}
		at := since.(time.Time).Add(settle)
		if now.Before(at) && (validTo.IsZero() || at.Before(validTo)) {
			validTo = at
		}
		return !now.Before(at)
	}
	for _, candidates := range [][]hookhall.Member{r.eligible, r.candidates} {
		settled = nil
		for _, member := range candidates {
			if isSettled(member) {
				settled = append(settled, member)
			}
		}
		if len(settled) > 0 {
			return settled, validTo
		}
	}
	return r.eligible, validTo
}

// haveEqualCapacity reports whether all members have the same capacity.
func haveEqualCapacity(list []hookhall.Member) bool {
	return !slices.ContainsFunc(list, func(member hookhall.Member) bool {
		return effectiveCapacity(member) != effectiveCapacity(list[0])
	})
}
