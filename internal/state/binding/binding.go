// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package binding

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// MaxBindings limits the bindings in a Table, which take some 200 bytes each.
const MaxBindings = 1 << 15

// Key identifies a stream.
type Key [16]byte

// KeyOf returns the key of the stream whose first event the call with an id brought to a client
// account. Accounts can't name each other's streams.
func KeyOf(account, call string) Key {
	h := sha256.New()
	_, _ = h.Write([]byte(account + "\x00" + call)) // never fails
	return Key(h.Sum(nil)[:len(Key{})])
}

// Binding ties a stream to the software that began it.
type Binding struct {
	Key       Key
	Service   string
	Version   string    // of the target's software, "" if the target states none
	ExpiresAt time.Time // when the client can't take the stream up any more
	// IsExplicit is set if nothing about the stream can be concluded from the lack of a record: its
	// route leads to several services.
	IsExplicit bool
	// IsUnrecorded is set in a handover if the gateway that began the stream could not record it.
	IsUnrecorded bool
}

// Rank returns the members in the order in which they hold the copies of a binding, by rendezvous
// hashing. It does not change the list.
func Rank(key Key, members []hookhall.Member) []hookhall.Member {
	type ranked struct {
		member hookhall.Member
		score  uint64
	}
	list := make([]ranked, 0, len(members))
	for _, member := range members {
		list = append(list, ranked{member, xxhash.Sum64String(string(key[:]) + member.Address)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	out := make([]hookhall.Member, 0, len(list))
	for _, r := range list {
		out = append(out, r.member)
	}
	return out
}

// Table holds bindings. Its zero value is empty, and it is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	byKey map[Key]Binding
	// order has the keys in the order in which they were put; a key that was put again occurs
	// several times.
	order []Key
}

// Put adds a binding, or extends that of the same stream: the later expiry counts, since an older copy may arrive
// last, and the first service and version. A full table drops the binding that was put first.
func (t *Table) Put(b Binding, now time.Time) {
	if !now.Before(b.ExpiresAt) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey == nil {
		t.byKey = map[Key]Binding{}
	}
	known, ok := t.byKey[b.Key]
	if ok && known.ExpiresAt.After(b.ExpiresAt) {
		b.ExpiresAt = known.ExpiresAt
	}
	if ok && now.Before(known.ExpiresAt) {
		b.Service, b.Version = known.Service, known.Version
	}
	if !ok || known != b {
		t.order = append(t.order, b.Key)
	}
	t.byKey[b.Key] = b
	t.prune(now)
}

// prune drops the oldest bindings while they have expired or there are too many. t.mu must be held.
func (t *Table) prune(now time.Time) {
	dropped := 0
	for _, key := range t.order {
		b, ok := t.byKey[key]
		if ok && now.Before(b.ExpiresAt) && len(t.order)-dropped <= MaxBindings {
			break
		}
		delete(t.byKey, key)
		dropped++
	}
	t.order = slices.Delete(t.order, 0, dropped)
}

// Get returns the binding of a stream, and false if there is none.
func (t *Table) Get(key Key, now time.Time) (Binding, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.byKey[key]
	return b, ok && now.Before(b.ExpiresAt)
}

// All returns the bindings that have not expired.
func (t *Table) All(now time.Time) []Binding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Binding
	for _, b := range t.byKey {
		if now.Before(b.ExpiresAt) {
			all = append(all, b)
		}
	}
	return all
}

// Len returns the number of bindings, including expired ones that were not dropped yet.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}
