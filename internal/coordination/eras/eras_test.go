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

// fakeStore answers in the era that the test sets, and counts calls.
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

// meter counts restores of the store.
type meter int

func (m *meter) Restored(uint64) { *m++ }

// TestAnswersOfEarlierErasFail guards against the use of outdated answers: an answer of an earlier
// era than the latest, or without an era, must fail with ErrUnavailable and without items.
func TestAnswersOfEarlierErasFail(t *testing.T) {
	for name, c := range map[string]struct {
		eras     []uint64
		refused  []bool
		restores int
	}{
		"the first era is the baseline":                    {[]uint64{5, 5}, []bool{false, false}, 0},
		"a later era":                                      {[]uint64{1, 2, 2}, []bool{false, false, false}, 1},
		"an answer that was under way during the restore":  {[]uint64{1, 2, 1, 2}, []bool{false, false, true, false}, 1},
		"an answer without an era":                         {[]uint64{1, 0, 1}, []bool{false, true, false}, 0},
		"a store that never reports an era":                {[]uint64{0, 0}, []bool{false, false}, 0},
		"a store that begins to report an era":             {[]uint64{0, 1, 0}, []bool{false, false, true}, 1},
		"an era that increases by more than one":           {[]uint64{1, 4, 3, 5}, []bool{false, false, true, false}, 2},
		"a store that stays in an earlier era is rejected": {[]uint64{3, 2, 2, 2}, []bool{false, true, true, true}, 0},
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
				t.Errorf("%d restores counted, want %d", m, c.restores)
			}
		})
	}
}

// TestLeasesAndWatchesEndWithEra guards against calls with leases and watches of an earlier era,
// whose numbers may belong to another process: they must end without a call of the store.
func TestLeasesAndWatchesEndWithEra(t *testing.T) {
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
		t.Errorf("Renew with a lease of this era: %v", err)
	}
	store.era = 2
	if _, _, err := s.Range(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	store.calls = 0
	if err := s.Renew(t.Context(), lease); !errors.Is(err, hookhall.ErrLeaseGone) {
		t.Errorf("Renew with a lease of an earlier era: %v", err)
	}
	if err := s.Put(t.Context(), "k", nil, lease); !errors.Is(err, hookhall.ErrLeaseGone) {
		t.Errorf("Put with a lease of an earlier era: %v", err)
	}
	if err := s.Revoke(t.Context(), lease); err != nil {
		t.Errorf("Revoke of a lease of an earlier era: %v", err)
	}
	if _, _, err := s.Watch(t.Context(), "", at, time.Second); !errors.Is(err, hookhall.ErrHistoryGone) {
		t.Errorf("Watch since an earlier era: %v", err)
	}
	if store.calls != 0 {
		t.Errorf("%d calls of the store were made", store.calls)
	}
	if err := s.Put(t.Context(), "k", nil, hookhall.Lease{}); err != nil {
		t.Errorf("Put without a lease: %v", err)
	}
}
