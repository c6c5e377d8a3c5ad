// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package view computes which members of a membership view own a slot, and the view that
// follows from a change of membership.
//
// # Model
//
// A view assigns each of the SlotCount slots a pair of members by rendezvous hashing: the
// owner is the member with the highest score, the standby the member of another hall with
// the highest score, or the one with the second-highest score when all are in one hall.
// The owner of an account's limits is found by rendezvous hashing of the account's name.
//
// # Invariants
//
//   - The functions are pure: the same view gives the same pairs in every process. They
//     never change a view that they are given.
//   - The epoch grows by one with each change of members, never otherwise.
//   - The members of an epoch are the same, whichever later view they are computed from.
package view

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// SlotCount is the number of slots that claim keys are hashed to. With 330 members each
// holds some 6 slots as owner or standby. It must be the same in all processes, which
// otherwise find different owners for a key.
const SlotCount = 1024

// maxChanges is the number of membership changes that a view lists: about three hours
// of them at the 560 epochs of an ordinary day. Members of older epochs can't be computed.
const maxChanges = 64

// SlotOf returns the slot of a claim key.
func SlotOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % SlotCount) }

// Pair is the owner and the standby of a slot; either is nil when there are too few
// members.
type Pair struct {
	Owner   *hookhall.Member
	Standby *hookhall.Member
}

// Has reports whether the member with this ID is the owner or the standby.
func (p Pair) Has(id string) bool {
	return p.Owner != nil && p.Owner.ID == id || p.Standby != nil && p.Standby.ID == id
}

// Members returns the members of the pair, at most two, the owner first.
func (p Pair) Members() []hookhall.Member {
	var members []hookhall.Member
	for _, m := range []*hookhall.Member{p.Owner, p.Standby} {
		if m != nil {
			members = append(members, *m)
		}
	}
	return members
}

// PairOf returns the pair of a slot among members. It points into members, and its time
// is linear in their number.
func PairOf(members []hookhall.Member, slot uint32) Pair {
	var owner, runnerUp, otherHall int = -1, -1, -1
	scores := make([]uint64, len(members))
	for i, m := range members {
		scores[i] = rendezvousScore(m.Instance, uint64(slot))
		if owner < 0 || scores[i] > scores[owner] {
			owner = i
		}
	}
	if owner < 0 {
		return Pair{}
	}
	for i, m := range members {
		if i == owner {
			continue
		}
		if runnerUp < 0 || scores[i] > scores[runnerUp] {
			runnerUp = i
		}
		if m.Hall != members[owner].Hall && (otherHall < 0 || scores[i] > scores[otherHall]) {
			otherHall = i
		}
	}
	p := Pair{Owner: &members[owner]}
	switch {
	case otherHall >= 0:
		p.Standby = &members[otherHall]
	case runnerUp >= 0:
		p.Standby = &members[runnerUp]
	}
	return p
}

// Owner returns the member that owns a name, such as an account's, nil when there are no
// members. It points into members.
func Owner(members []hookhall.Member, name string) *hookhall.Member {
	hash := xxhash.Sum64String(name)
	var best *hookhall.Member
	var topScore uint64
	for i := range members {
		if s := rendezvousScore(members[i].Instance, hash); best == nil || s > topScore {
			best, topScore = &members[i], s
		}
	}
	return best
}

// rendezvousScore returns the score of an instance for n, a slot number or a hash; a
// splitmix64 step spreads scores evenly.
func rendezvousScore(instance string, n uint64) uint64 {
	x := xxhash.Sum64String(instance) ^ (n+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Find returns the member of v with this ID, and whether there is one.
func Find(v *hookhall.View, id string) (hookhall.Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return hookhall.Member{}, false
}

// Encode returns the stored form of a view, JSON.
func Encode(v *hookhall.View) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

// Decode is the inverse of Encode; an empty b gives the empty view. It returns an error
// when b is not valid JSON, or the members are not sorted by ID or not unique.
func Decode(b []byte) (*hookhall.View, error) {
	v := &hookhall.View{}
	if len(b) == 0 {
		return v, nil
	}
	if err := json.Unmarshal(b, v); err != nil {
		return nil, errors.Wrap(err, "view")
	}
	for i := 1; i < len(v.Members); i++ {
		if v.Members[i-1].ID >= v.Members[i].ID {
			return nil, errors.Errorf("view: member %q is listed twice or not sorted by ID", v.Members[i].ID)
		}
	}
	return v, nil
}

// Join returns v with m added, or v itself when m is in it. Older incarnations of m's
// instance are removed, from the unfenced members too: m could not have bound its address
// while they ran, so they have ended.
func Join(v *hookhall.View, m hookhall.Member) *hookhall.View {
	if _, ok := Find(v, m.ID); ok {
		return v
	}
	next := clone(v)
	var left []hookhall.Member
	next.Members, left = partition(next.Members, func(x hookhall.Member) bool { return x.Instance != m.Instance })
	next.Members = append(next.Members, m)
	next.Unfenced, _ = partition(next.Unfenced, func(x hookhall.Member) bool { return x.Instance != m.Instance })
	return commitChange(next, []hookhall.Member{m}, left)
}

// Leave returns v without the member, or v itself when it is not in it. Unless gone is
// set, the member is added to the unfenced ones, since it may still be running.
func Leave(v *hookhall.View, id string, gone bool) *hookhall.View {
	m, ok := Find(v, id)
	if !ok {
		return v
	}
	next := clone(v)
	next.Members, _ = partition(next.Members, func(x hookhall.Member) bool { return x.ID != id })
	if !gone {
		next.Unfenced = append(next.Unfenced, m)
	}
	return commitChange(next, nil, []hookhall.Member{m})
}

// Fence returns v without the member among the unfenced ones, for use once the platform
// reports that the member has ended. The epoch stays; the revision grows by one. It
// returns v itself when the member is not unfenced.
func Fence(v *hookhall.View, id string) *hookhall.View {
	next := clone(v)
	next.Unfenced, _ = partition(next.Unfenced, func(x hookhall.Member) bool { return x.ID != id })
	if len(next.Unfenced) == len(v.Unfenced) {
		return v
	}
	next.Revision++
	return next
}

// MembersAt returns the members of v's epoch or an earlier one, sorted by ID. It returns
// false for later epochs and for those that v's list of changes doesn't reach back to.
func MembersAt(v *hookhall.View, epoch uint64) ([]hookhall.Member, bool) {
	if epoch > v.Epoch {
		return nil, false
	}
	members := append([]hookhall.Member(nil), v.Members...)
	for i := len(v.Changes) - 1; i >= 0 && v.Changes[i].Epoch > epoch; i-- {
		members = revertChange(members, v.Changes[i])
	}
	oldest := v.Epoch + 1
	if len(v.Changes) > 0 {
		oldest = v.Changes[0].Epoch
	}
	if epoch+1 < oldest && epoch != v.Epoch {
		return nil, false
	}
	sortMembers(members)
	return members, true
}

// revertChange returns the members before the change c.
func revertChange(members []hookhall.Member, c hookhall.MembershipChange) []hookhall.Member {
	for _, j := range c.Joined {
		members, _ = partition(members, func(x hookhall.Member) bool { return x.ID != j.ID })
	}
	return append(members, c.Left...)
}

// clone returns a copy of v that shares no slice of members or changes with it.
func clone(v *hookhall.View) *hookhall.View {
	c := *v
	c.Members = append([]hookhall.Member(nil), v.Members...)
	c.Unfenced = append([]hookhall.Member(nil), v.Unfenced...)
	c.Changes = append([]hookhall.MembershipChange(nil), v.Changes...)
	return &c
}

// commitChange completes next, a clone whose members were changed: it sorts them,
// increments epoch and revision, and adds the change to the list. It returns next.
func commitChange(next *hookhall.View, joined, left []hookhall.Member) *hookhall.View {
	sortMembers(next.Members)
	next.Epoch++
	next.Revision++
	next.Changes = append(next.Changes, hookhall.MembershipChange{Epoch: next.Epoch, Joined: joined, Left: left})
	if len(next.Changes) > maxChanges {
		next.Changes = next.Changes[len(next.Changes)-maxChanges:]
	}
	return next
}

// partition returns the members for which keep returns true, and the others.
func partition(members []hookhall.Member, keep func(hookhall.Member) bool) (kept, removed []hookhall.Member) {
	for _, m := range members {
		if keep(m) {
			kept = append(kept, m)
		} else {
			removed = append(removed, m)
		}
	}
	return kept, removed
}

// sortMembers sorts members in place by ID.
func sortMembers(members []hookhall.Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
}
