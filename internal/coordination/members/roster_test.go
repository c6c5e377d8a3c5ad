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

// membersWithCapacities returns a Members whose members have these relative capacities, listed an
// hour ago.
func membersWithCapacities(capacities ...float64) *Members {
	m := newEstablished(len(capacities))
	clear(m.listingByKey)
	for i, capacity := range capacities {
		o := member(i + 1)
		o.RelativeCapacity = capacity
		if i == 0 {
			m.self = o
		}
		m.listingByKey[keyPrefix+o.Instance] = listing{member: o}
	}
	m.publish()
	for _, o := range m.All() {
		m.listedSince.Store(o.Address, time.Now().Add(-time.Hour))
	}
	return m
}

// keysPerOwner returns how many of 500 keys each address owns.
func keysPerOwner(m *Members, now time.Time) map[string]int {
	counts := map[string]int{}
	for i := range 500 {
		counts[m.Owner(fmt.Sprint("k", i), nil, now).Address]++
	}
	return counts
}

// wantOwners checks that exactly the members from first to last own work.
func wantOwners(t *testing.T, m *Members, now time.Time, first, last int) {
	t.Helper()
	got := keysPerOwner(m, now)
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

// weakAndStrong returns the relative capacities of weak members followed by those of strong ones.
func weakAndStrong(weak, strong int) []float64 {
	var capacities []float64
	for range weak {
		capacities = append(capacities, 0.192)
	}
	for range strong {
		capacities = append(capacities, 0.8)
	}
	return capacities
}

// TestEligibleOwners guards against weak members that own work beside enough strong ones, and
// against work without an owner when the strong ones are few, new or do not answer.
func TestEligibleOwners(t *testing.T) {
	now := time.Now()
	t.Run("weak members own nothing beside enough strong ones", func(t *testing.T) {
		wantOwners(t, membersWithCapacities(weakAndStrong(60, 4)...), now, 61, 64)
	})
	t.Run("weak members own all work when all strong ones are suspected", func(t *testing.T) {
		m := membersWithCapacities(weakAndStrong(5, 4)...)
		for i := 6; i <= 9; i++ {
			m.Suspect(member(i).Address, now)
		}
		wantOwners(t, m, now, 1, 5)
	})
	t.Run("weak members own all work while the strong ones are newcomers", func(t *testing.T) {
		m := membersWithCapacities(weakAndStrong(5, 4)...)
		for i := 6; i <= 9; i++ {
			m.listedSince.Store(member(i).Address, now)
		}
		wantOwners(t, m, now, 1, 5)
	})
	t.Run("roles do not depend on a single strong member", func(t *testing.T) {
		wantOwners(t, membersWithCapacities(weakAndStrong(5, 1)...), now, 1, 6)
	})
	t.Run("members without a stated capacity are equal", func(t *testing.T) {
		wantOwners(t, membersWithCapacities(0, 0, 0, 0), now, 1, 4)
	})
	t.Run("a single member owns all work", func(t *testing.T) {
		m := New(hookhall.Member{Address: member(1).Address}, nil, log.New(io.Discard))
		wantOwners(t, m, now, 1, 1)
	})
}
