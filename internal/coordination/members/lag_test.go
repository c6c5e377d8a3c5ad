// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// feedLateness feeds l with timers that are late for a span of time. It returns how long it
// took until the process started or stopped declining ownership, 0 if it did not.
func feedLateness(l *lagMonitor, late, span time.Duration, now *time.Time) (changed time.Duration) {
	for began := *now; now.Sub(began) < span; {
		*now = now.Add(lagSampleInterval + late)
		if l.observe(late, *now) {
			return now.Sub(began)
		}
	}
	return 0
}

// TestLag guards against a process that declines ownership because of a busy processor or a
// single pause, one that lags and does not decline, and one that changes back too early.
func TestLag(t *testing.T) {
	for _, c := range []struct {
		name     string
		late     time.Duration
		span     time.Duration
		declines bool
	}{
		{"on time", time.Millisecond, time.Minute, false},
		{"a busy processor", 40 * time.Millisecond, time.Minute, false},
		{"processor quota used up in each tenth of a second", 80 * time.Millisecond, time.Minute, false},
		{"one long pause", 20 * time.Second, time.Second, false},
		{"always late", 150 * time.Millisecond, 3 * time.Second, true},
		{"hardly scheduled", time.Second, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			if got := feedLateness(&lagMonitor{}, c.late, c.span, &now); (got > 0) != c.declines {
				t.Errorf("it began to decline ownership after %v", got)
			}
		})
	}
	t.Run("declining starts within a second, lasts, and ends only without lag", func(t *testing.T) {
		l, now := &lagMonitor{}, time.Now()
		if got := feedLateness(l, maxLagSample, time.Minute, &now); got == 0 || got > time.Second {
			t.Fatalf("declining began after %v", got)
		}
		if got := feedLateness(l, 50*time.Millisecond, time.Minute, &now); got != 0 {
			t.Fatalf("declining ended after %v, while timers were late", got)
		}
		if got := feedLateness(l, time.Millisecond, time.Minute, &now); got == 0 {
			t.Fatal("declining did not end")
		}
		if got := feedLateness(l, maxLagSample, time.Minute, &now); got == 0 {
			t.Fatal("declining did not begin again")
		}
		if got := feedLateness(l, time.Millisecond, minDeclineDuration-time.Second, &now); got != 0 {
			t.Errorf("declining ended after %v", got)
		}
	})
}

// keyStore keeps the member records that were put; while unavailable it fails all calls.
type keyStore struct {
	hookhall.Store
	values      map[string]hookhall.Member
	unavailable bool
}

func (s *keyStore) Put(_ context.Context, key string, value []byte, _ hookhall.Lease) error {
	if s.unavailable {
		return hookhall.ErrUnavailable
	}
	var o hookhall.Member
	if err := json.Unmarshal(value, &o); err != nil {
		return err
	}
	s.values[key] = o
	return nil
}

func (s *keyStore) Renew(context.Context, hookhall.Lease) error {
	if s.unavailable {
		return hookhall.ErrUnavailable
	}
	return nil
}

// TestDecliningOwnership guards against a lagging process that still owns work in its own
// list or in those of others, and against a whole fleet that declines when most are lagging.
func TestDecliningOwnership(t *testing.T) {
	now := time.Now()
	newRegistered := func() (*Members, *keyStore) {
		m := membersWithCapacities(1, 1, 1, 1)
		s := &keyStore{values: map[string]hookhall.Member{}}
		m.store = s
		m.lease.Store(&hookhall.Lease{Number: 7})
		return m, s
	}
	key := keyPrefix + member(1).Instance
	t.Run("it owns nothing in its own list, and its key has the state", func(t *testing.T) {
		m, s := newRegistered()
		m.setDeclining(t.Context(), true, declineThreshold)
		wantOwners(t, m, now, 2, 4)
		if !s.values[key].DecliningOwnership {
			t.Error("the key does not state that it declines")
		}
		m.setDeclining(t.Context(), false, 0)
		wantOwners(t, m, now, 1, 4)
		if s.values[key].DecliningOwnership {
			t.Error("the key still states that it declines")
		}
	})
	t.Run("the key is written with the next renewal after an outage", func(t *testing.T) {
		m, s := newRegistered()
		s.unavailable = true
		m.setDeclining(t.Context(), true, declineThreshold)
		if err := m.renew(t.Context()); err == nil {
			t.Fatal("the lease was renewed")
		}
		s.unavailable = false
		if err := m.renew(t.Context()); err != nil || !s.values[key].DecliningOwnership {
			t.Errorf("%v, %v", err, s.values)
		}
	})
	t.Run("others exclude it", func(t *testing.T) {
		m, _ := newRegistered()
		o := member(3)
		o.DecliningOwnership = true
		m.applyEvents([]hookhall.Item{memberItem(o, 9)}, 9)
		if got := keysPerOwner(m, now)[o.Address]; got != 0 {
			t.Errorf("it owns %d keys", got)
		}
	})
	t.Run("nobody is excluded when most are lagging", func(t *testing.T) {
		m, _ := newRegistered()
		for n := 2; n <= 4; n++ {
			o := member(n)
			o.DecliningOwnership = true
			m.applyEvents([]hookhall.Item{memberItem(o, 9)}, 9)
		}
		wantOwners(t, m, now, 1, 4)
	})
}
