// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
)

// restoredStore has a list of members as of a revision, and tells no changes.
type restoredStore struct {
	hookhall.Store
	at    hookhall.Revision
	items []hookhall.Item
}

func (s *restoredStore) Range(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.items, s.at, nil
}

func (s *restoredStore) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.Range(ctx, prefix)
}

// inEra is a revision of an era.
func inEra(era, count uint64) hookhall.Revision {
	r, err := hookhall.NewRevision(era, count)
	if err != nil {
		panic(err) // the tests' own numbers
	}
	return r
}

// TestRestoredList: a store that came back from a copy takes nobody off the list before
// all have had the time to register again, and brings no older word of a member back.
func TestRestoredList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredStore{at: inEra(1, 20)}
		moved := member(3)
		moved.Address = "127.0.0.3:9"
		s.items = []hookhall.Item{registered(member(2), inEra(1, 10)), registered(moved, inEra(1, 15)), registered(member(4), inEra(1, 18))}
		m := New(member(1), s, log.New(io.Discard))
		read := func() {
			t.Helper()
			if _, err := m.read(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		hold := func(when string, addresses ...string) {
			t.Helper()
			got := fmt.Sprint(m.All())
			listed := map[string]bool{}
			for _, o := range m.All() {
				listed[o.Address] = true
			}
			for _, a := range addresses {
				if !listed[a] {
					t.Errorf("%s: %s is not listed: %s", when, a, got)
				}
			}
			if len(listed) != len(addresses)+1 {
				t.Errorf("%s: %s", when, got)
			}
		}
		read()
		hold("before", member(2).Address, moved.Address, member(4).Address)
		s.at = inEra(2, 12)
		s.items = []hookhall.Item{registered(member(2), inEra(2, 10)), registered(member(3), inEra(2, 11))}
		read()
		m.change([]hookhall.Item{{Key: prefix + member(2).Instance, Revision: inEra(2, 13), Gone: true}}, inEra(2, 13))
		hold("right after", member(2).Address, moved.Address, member(4).Address)
		if m.settled(time.Now()) {
			t.Error("the list has settled at once")
		}
		time.Sleep(ttl)
		s.at = inEra(2, 20)
		s.items = []hookhall.Item{registered(member(2), inEra(2, 14)), registered(moved, inEra(2, 15))}
		if !m.settled(time.Now()) {
			t.Error("the list has not settled")
		}
		read()
		hold("once all had the time to register", member(2).Address, moved.Address)
	})
}
