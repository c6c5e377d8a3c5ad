// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package view computes on membership views: who owns a slot, and how a view
// is changed.
//
// # Model
//
// Every view of an epoch gives each of the SlotCount slots a pair of members:
// the owner is the member with the highest rendezvous score, the standby the
// next one in another hall, or simply the next one when all are in one hall.
// Accounts' limits are owned by rendezvous over the account's name.
//
// # Invariants
//
//   - Functions here are pure: the same view gives the same pairs everywhere.
//   - The epoch grows by one with each change of members, never otherwise.
//   - At(k) of a view is the membership that epoch k had.
package view

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// SlotCount is the number of slots that claim keys fall into. With 330
// members each holds some 8 slots as owner or standby.
const SlotCount = 1024

// keptChanges is how many changes a view carries: at 560 epochs on an ordinary
// day, about three hours.
const keptChanges = 64

// SlotOf returns the slot of a claim key.
func SlotOf(key string) uint32 { return uint32(xxhash.Sum64String(key) % SlotCount) }

// Pair is the owner and the standby of a slot; nil where there is none.
type Pair struct {
	Owner   *hookhall.Member
	Standby *hookhall.Member
}

// Has tells whether the member is one of the pair.
func (p Pair) Has(id string) bool {
	return p.Owner != nil && p.Owner.ID == id || p.Standby != nil && p.Standby.ID == id
}

// Members returns the pair's members, none, one or two.
func (p Pair) Members() []hookhall.Member {
	var ms []hookhall.Member
	for _, m := range []*hookhall.Member{p.Owner, p.Standby} {
		if m != nil {
			ms = append(ms, *m)
		}
	}
	return ms
}

// PairOf computes the pair of a slot among members.
func PairOf(members []hookhall.Member, slot uint32) Pair {
	var first, second, other int = -1, -1, -1
	scores := make([]uint64, len(members))
	for i, m := range members {
		scores[i] = score(m.Instance, uint64(slot))
		if first < 0 || scores[i] > scores[first] {
			first = i
		}
	}
	if first < 0 {
		return Pair{}
	}
	for i, m := range members {
		if i == first {
			continue
		}
		if second < 0 || scores[i] > scores[second] {
			second = i
		}
		if m.Hall != members[first].Hall && (other < 0 || scores[i] > scores[other]) {
			other = i
		}
	}
	p := Pair{Owner: &members[first]}
	switch {
	case other >= 0:
		p.Standby = &members[other]
	case second >= 0:
		p.Standby = &members[second]
	}
	return p
}

// Owner returns the member that owns a name, nil without members.
func Owner(members []hookhall.Member, name string) *hookhall.Member {
	h := xxhash.Sum64String(name)
	var best *hookhall.Member
	var top uint64
	for i := range members {
		if s := score(members[i].Instance, h); best == nil || s > top {
			best, top = &members[i], s
		}
	}
	return best
}

// score mixes a member's name and a number; a splitmix step spreads it.
func score(name string, n uint64) uint64 {
	x := xxhash.Sum64String(name) ^ (n+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Find returns the member with an id.
func Find(v *hookhall.View, id string) (hookhall.Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return hookhall.Member{}, false
}

// Encode returns the view's document.
func Encode(v *hookhall.View) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return b
}

// Decode reads a view and refuses one that contradicts itself.
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
			return nil, errors.Errorf("view: member %q is named twice or out of order", v.Members[i].ID)
		}
	}
	return v, nil
}

// Join returns v with m added. Older incarnations of m's instance leave: m
// could not have bound its address while they ran, so they are gone.
func Join(v *hookhall.View, m hookhall.Member) *hookhall.View {
	if _, ok := Find(v, m.ID); ok {
		return v
	}
	n := clone(v)
	var left []hookhall.Member
	n.Members, left = split(n.Members, func(x hookhall.Member) bool { return x.Instance != m.Instance })
	n.Members = append(n.Members, m)
	n.Unfenced, _ = split(n.Unfenced, func(x hookhall.Member) bool { return x.Instance != m.Instance })
	return commit(n, []hookhall.Member{m}, left)
}

// Leave returns v without the member. With gone unset the member is kept among
// the unfenced ones, since it may still run.
func Leave(v *hookhall.View, id string, gone bool) *hookhall.View {
	m, ok := Find(v, id)
	if !ok {
		return v
	}
	n := clone(v)
	n.Members, _ = split(n.Members, func(x hookhall.Member) bool { return x.ID != id })
	if !gone {
		n.Unfenced = append(n.Unfenced, m)
	}
	return commit(n, nil, []hookhall.Member{m})
}

// Fence returns v with the member no longer among the unfenced ones, because
// the platform says that it is gone. The epoch stays.
func Fence(v *hookhall.View, id string) *hookhall.View {
	n := clone(v)
	n.Unfenced, _ = split(n.Unfenced, func(x hookhall.Member) bool { return x.ID != id })
	if len(n.Unfenced) == len(v.Unfenced) {
		return v
	}
	n.Revision++
	return n
}

// At returns the members of an earlier epoch; ok is false when v's history
// does not reach back to it.
func At(v *hookhall.View, epoch uint64) ([]hookhall.Member, bool) {
	if epoch > v.Epoch {
		return nil, false
	}
	members := append([]hookhall.Member(nil), v.Members...)
	for i := len(v.Changes) - 1; i >= 0 && v.Changes[i].Epoch > epoch; i-- {
		members = undo(members, v.Changes[i])
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

func undo(members []hookhall.Member, c hookhall.Change) []hookhall.Member {
	for _, j := range c.Joined {
		members, _ = split(members, func(x hookhall.Member) bool { return x.ID != j.ID })
	}
	return append(members, c.Left...)
}

func clone(v *hookhall.View) *hookhall.View {
	n := *v
	n.Members = append([]hookhall.Member(nil), v.Members...)
	n.Unfenced = append([]hookhall.Member(nil), v.Unfenced...)
	n.Changes = append([]hookhall.Change(nil), v.Changes...)
	return &n
}

func commit(n *hookhall.View, joined, left []hookhall.Member) *hookhall.View {
	sortMembers(n.Members)
	n.Epoch++
	n.Revision++
	n.Changes = append(n.Changes, hookhall.Change{Epoch: n.Epoch, Joined: joined, Left: left})
	if len(n.Changes) > keptChanges {
		n.Changes = n.Changes[len(n.Changes)-keptChanges:]
	}
	return n
}

func split(ms []hookhall.Member, keep func(hookhall.Member) bool) (kept, left []hookhall.Member) {
	for _, m := range ms {
		if keep(m) {
			kept = append(kept, m)
		} else {
			left = append(left, m)
		}
	}
	return kept, left
}

func sortMembers(ms []hookhall.Member) {
	sort.Slice(ms, func(i, j int) bool { return ms[i].ID < ms[j].ID })
}
