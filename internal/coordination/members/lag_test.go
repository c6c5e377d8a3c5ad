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

// lateFor has timers late by so much for a time, and gives how long it took until
// the process changed between work and rest; 0 when it did not.
func lateFor(l *lag, late, span time.Duration, now *time.Time) (changed time.Duration) {
	for began := *now; now.Sub(began) < span; {
		*now = now.Add(lagEvery + late)
		if l.take(late, *now) {
			return now.Sub(began)
		}
	}
	return 0
}

func TestLag(t *testing.T) {
	for _, c := range []struct {
		name  string
		late  time.Duration
		span  time.Duration
		rests bool
	}{
		{"in time", time.Millisecond, time.Minute, false},
		{"a busy processor", 40 * time.Millisecond, time.Minute, false},
		{"spent its share of each tenth of a second", 80 * time.Millisecond, time.Minute, false},
		{"one long pause", 20 * time.Second, time.Second, false},
		{"late throughout", 150 * time.Millisecond, 3 * time.Second, true},
		{"hardly runs", time.Second, 4 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			if got := lateFor(&lag{}, c.late, c.span, &now); (got > 0) != c.rests {
				t.Errorf("it began to rest after %v", got)
			}
		})
	}
	t.Run("a rest begins within a second, lasts, and ends in time again only", func(t *testing.T) {
		l, now := &lag{}, time.Now()
		if got := lateFor(l, lagMost, time.Minute, &now); got == 0 || got > time.Second {
			t.Fatalf("it began after %v", got)
		}
		if got := lateFor(l, 50*time.Millisecond, time.Minute, &now); got != 0 {
			t.Fatalf("it ended after %v, while timers were late", got)
		}
		if got := lateFor(l, time.Millisecond, time.Minute, &now); got == 0 {
			t.Fatal("it did not end")
		}
		if got := lateFor(l, lagMost, time.Minute, &now); got == 0 {
			t.Fatal("it did not begin again")
		}
		if got := lateFor(l, time.Millisecond, restLeast-time.Second, &now); got != 0 {
			t.Errorf("it ended after %v", got)
		}
	})
}

// keyStore keeps what was put; it may refuse.
type keyStore struct {
	hookhall.Store
	values map[string]hookhall.Member
	away   bool
}

func (s *keyStore) Put(_ context.Context, key string, value []byte, _ hookhall.Lease) error {
	if s.away {
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
	if s.away {
		return hookhall.ErrUnavailable
	}
	return nil
}

func TestRest(t *testing.T) {
	now := time.Now()
	aged := func() (*Members, *keyStore) {
		m := fleetOf(1, 1, 1, 1)
		s := &keyStore{values: map[string]hookhall.Member{}}
		m.store = s
		m.lease.Store(&hookhall.Lease{Number: 7})
		return m, s
	}
	key := prefix + member(1).Instance
	t.Run("it owns nothing by its own list, and its key says so", func(t *testing.T) {
		m, s := aged()
		m.rest(t.Context(), true, lagRest)
		wantOwners(t, m, now, 2, 4)
		if !s.values[key].Resting {
			t.Error("the key does not say it")
		}
		m.rest(t.Context(), false, 0)
		wantOwners(t, m, now, 1, 4)
		if s.values[key].Resting {
			t.Error("the key does not say that it is over")
		}
	})
	t.Run("a store that was away is told with the next renewal", func(t *testing.T) {
		m, s := aged()
		s.away = true
		m.rest(t.Context(), true, lagRest)
		if err := m.renew(t.Context()); err == nil {
			t.Fatal("the lease was renewed")
		}
		s.away = false
		if err := m.renew(t.Context()); err != nil || !s.values[key].Resting {
			t.Errorf("%v, %v", err, s.values)
		}
	})
	t.Run("others leave it out", func(t *testing.T) {
		m, _ := aged()
		o := member(3)
		o.Resting = true
		m.change([]hookhall.Item{registered(o, 9)}, 9)
		if got := owners(m, now)[o.Address]; got != 0 {
			t.Errorf("it owns %d keys", got)
		}
	})
	t.Run("not when most are late", func(t *testing.T) {
		m, _ := aged()
		for n := 2; n <= 4; n++ {
			o := member(n)
			o.Resting = true
			m.change([]hookhall.Item{registered(o, 9)}, 9)
		}
		wantOwners(t, m, now, 1, 4)
	})
}
