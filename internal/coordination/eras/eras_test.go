// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package eras

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// fakeStore answers in whatever era it is told.
type fakeStore struct {
	hookhall.Store
	era   uint64
	calls int
}

func (s *fakeStore) Range(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	s.calls++
	at, err := hookhall.NewRevision(s.era, 10)
	return []hookhall.Item{{Key: "k", Revision: at}}, at, err
}

func (s *fakeStore) Watch(context.Context, string, hookhall.Revision, time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	s.calls++
	at, err := hookhall.NewRevision(s.era, 11)
	return nil, at, err
}

func (s *fakeStore) Grant(context.Context, time.Duration) (hookhall.Lease, error) {
	return hookhall.Lease{Era: s.era, Number: 7}, nil
}

func (s *fakeStore) Renew(context.Context, hookhall.Lease) error  { s.calls++; return nil }
func (s *fakeStore) Revoke(context.Context, hookhall.Lease) error { s.calls++; return nil }
func (s *fakeStore) Put(context.Context, string, []byte, hookhall.Lease) error {
	s.calls++
	return nil
}

// meter counts restores.
type meter int

func (m *meter) Restored(uint64) { *m++ }

// TestAnswers: answers of an earlier era than the latest, or of none, are no answers.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		eras     []uint64
		refused  []bool
		restores int
	}{
		"the first is the baseline":                {[]uint64{5, 5}, []bool{false, false}, 0},
		"a later one":                              {[]uint64{1, 2, 2}, []bool{false, false, false}, 1},
		"an answer that was under way":             {[]uint64{1, 2, 1, 2}, []bool{false, false, true, false}, 1},
		"an answer without one":                    {[]uint64{1, 0, 1}, []bool{false, true, false}, 0},
		"a store that never tells one":             {[]uint64{0, 0}, []bool{false, false}, 0},
		"a store that begins to tell one":          {[]uint64{0, 1, 0}, []bool{false, false, true}, 1},
		"one that goes on by several":              {[]uint64{1, 4, 3, 5}, []bool{false, false, true, false}, 2},
		"one that goes back for good is not heard": {[]uint64{3, 2, 2, 2}, []bool{false, true, true, true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var m meter
			store := &fakeStore{}
			s := New(store, &m, log.New(io.Discard))
			for i, era := range c.eras {
				store.era = era
				items, _, err := s.Range(t.Context(), "")
				if refused := errors.Is(err, hookhall.ErrUnavailable); refused != c.refused[i] || refused != (items == nil) {
					t.Errorf("answer %d of era %d: %v, %d items", i, era, err, len(items))
				}
			}
			if int(m) != c.restores {
				t.Errorf("%d restores, not %d", m, c.restores)
			}
		})
	}
}

// TestWhatEndsWithAnEra: leases and watches of an earlier era are over without a call.
func TestWhatEndsWithAnEra(t *testing.T) {
	var m meter
	store := &fakeStore{era: 1}
	s := New(store, &m, log.New(io.Discard))
	lease, err := s.Grant(t.Context(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	_, at, err := s.Range(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Renew(t.Context(), lease); err != nil {
		t.Errorf("a lease of this era: %v", err)
	}
	store.era = 2
	if _, _, err := s.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	store.calls = 0
	if err := s.Renew(t.Context(), lease); !errors.Is(err, hookhall.ErrLeaseGone) {
		t.Errorf("renewed: %v", err)
	}
	if err := s.Put(t.Context(), "k", nil, lease); !errors.Is(err, hookhall.ErrLeaseGone) {
		t.Errorf("put: %v", err)
	}
	if err := s.Revoke(t.Context(), lease); err != nil {
		t.Errorf("ended: %v", err)
	}
	if _, _, err := s.Watch(t.Context(), "", at, time.Second); !errors.Is(err, hookhall.ErrHistoryGone) {
		t.Errorf("watched: %v", err)
	}
	if store.calls != 0 {
		t.Errorf("%d calls were made", store.calls)
	}
	if err := s.Put(t.Context(), "k", nil, hookhall.Lease{}); err != nil {
		t.Errorf("put without a lease: %v", err)
	}
}
