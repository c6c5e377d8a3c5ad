// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
)

// fleetOf makes a Members of instances with these powers, listed long ago.
func fleetOf(powers ...float64) *Members {
	m := listed(len(powers))
	clear(m.byKey)
	for i, p := range powers {
		o := member(i + 1)
		o.Power = p
		if i == 0 {
			m.self = o
		}
		m.byKey[prefix+o.Instance] = listing{member: o}
	}
	m.publish()
	for _, o := range m.All() {
		m.since.Store(o.Address, time.Now().Add(-time.Hour))
	}
	return m
}

// owners counts by address who owns 500 keys.
func owners(m *Members, now time.Time) map[string]int {
	list := map[string]int{}
	for i := range 500 {
		list[m.Owner(fmt.Sprint("k", i), nil, now).Address]++
	}
	return list
}

// wantOwners checks that exactly the members from first to last own work.
func wantOwners(t *testing.T, m *Members, now time.Time, first, last int) {
	t.Helper()
	got := owners(m, now)
	for i := first; i <= last; i++ {
		if got[member(i).Address] == 0 {
			t.Errorf("member %d owns nothing", i)
		}
		delete(got, member(i).Address)
	}
	if len(got) > 0 {
		t.Errorf("others own work: %v", got)
	}
}

// weakAndStrong are the powers of weak members followed by strong ones.
func weakAndStrong(weak, strong int) []float64 {
	var list []float64
	for range weak {
		list = append(list, 0.192)
	}
	for range strong {
		list = append(list, 0.8)
	}
	return list
}

func TestBearers(t *testing.T) {
	now := time.Now()
	t.Run("weak members own nothing beside enough strong ones", func(t *testing.T) {
		wantOwners(t, fleetOf(weakAndStrong(60, 4)...), now, 61, 64)
	})
	t.Run("they own what is left when all strong ones are silent", func(t *testing.T) {
		m := fleetOf(weakAndStrong(5, 4)...)
		for i := 6; i <= 9; i++ {
			m.Suspect(member(i).Address, now)
		}
		wantOwners(t, m, now, 1, 5)
	})
	t.Run("they stand in while strong ones are new", func(t *testing.T) {
		m := fleetOf(weakAndStrong(5, 4)...)
		for i := 6; i <= 9; i++ {
			m.since.Store(member(i).Address, now)
		}
		wantOwners(t, m, now, 1, 5)
	})
	t.Run("a fleet's roles don't hang on one strong member", func(t *testing.T) {
		wantOwners(t, fleetOf(weakAndStrong(5, 1)...), now, 1, 6)
	})
	t.Run("members that don't tell their power are alike", func(t *testing.T) {
		wantOwners(t, fleetOf(0, 0, 0, 0), now, 1, 4)
	})
	t.Run("a member alone owns all", func(t *testing.T) {
		m := New(hookhall.Member{Address: member(1).Address}, nil, log.New(io.Discard))
		wantOwners(t, m, now, 1, 1)
	})
}
