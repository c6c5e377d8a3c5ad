// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"cmp"
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// ringWindow is how many neighbours on a ring a key is divided among: one alone would get
// as many keys as its distance to the next is long, which is several times the mean for
// some.
const ringWindow = 8

// ring has the targets of a large service in the order of the hashes of their ids, so
// that the first of them for a key is found without a look at all.
type ring struct {
	list   []hookhall.Target
	places []place
}

type place struct {
	hash uint64
	at   int32 // in list
}

func newRing(list []hookhall.Target) *ring {
	r := &ring{list: list, places: make([]place, 0, len(list))}
	for i := range list {
		if !list[i].Leaving {
			r.places = append(r.places, place{xxhash.Sum64String(list[i].ID), int32(i)})
		}
	}
	slices.SortFunc(r.places, func(a, b place) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// first is the first target for a key: of the neighbours of the key's hash, the one by
// rendezvous hashing. When the list changes, few keys get another one.
func (r *ring) first(key string) string {
	if len(r.places) == 0 {
		return ""
	}
	h := xxhash.Sum64String(key)
	from := sort.Search(len(r.places), func(i int) bool { return r.places[i].hash >= h })
	best, top := "", uint64(0)
	for i := range min(ringWindow, len(r.places)) {
		id := r.list[r.places[(from+i)%len(r.places)].at].ID
		if w := weight(key, id); best == "" || w > top {
			best, top = id, w
		}
	}
	return best
}

// rings has the latest ring of each service.
type rings struct{ byPool sync.Map }

// of makes the ring of a list, unless it is that of the last call. Lists are immutable.
func (r *rings) of(list []hookhall.Target) *ring {
	if known, ok := r.byPool.Load(list[0].Pool); ok {
		if same := known.(*ring); len(same.list) == len(list) && &same.list[0] == &list[0] {
			return same
		}
	}
	made := newRing(list)
	r.byPool.Store(list[0].Pool, made)
	return made
}
