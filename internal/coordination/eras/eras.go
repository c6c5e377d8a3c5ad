// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package eras

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// errEarlier is the failure of a call whose answer is of an earlier era, or of none.
var errEarlier = errors.Wrap(hookhall.ErrUnavailable, "the answer is of an earlier era of the store")

// Meter counts.
type Meter interface {
	// Restored counts a return of the store in a later era.
	Restored(era uint64)
}

// Store is a hookhall.Store before another one.
type Store struct {
	store hookhall.Store
	meter Meter
	log   *log.Logger

	mu      sync.Mutex
	met     bool   // an answer came
	latest  uint64 // era
	refused bool   // an answer of an earlier era was met in this one
}

// New makes a Store before another one.
func New(s hookhall.Store, m Meter, l *log.Logger) *Store { return &Store{store: s, meter: m, log: l} }

// Era is the latest that an answer told, 0 before any did.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// note takes in the era of an answer, and tells whether the answer counts.
func (s *Store) note(era uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.met:
		s.met, s.latest = true, era
	case era > s.latest:
		s.log.Warn("The store came back from an older copy; all is read anew.", "era", era, "before", s.latest)
		s.latest, s.refused = era, false
		s.meter.Restored(era)
	case era < s.latest:
		if !s.refused {
			s.refused = true
			s.log.Warn("The store answers in an earlier era; such answers don't count.", "era", era, "latest", s.latest)
		}
		return errEarlier
	}
	return nil
}

// Get implements hookhall.Store.
func (s *Store) Get(ctx context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	i, at, err := s.store.Get(ctx, key)
	if err == nil {
		err = s.note(at.Era())
	}
	return i, at, err
}

// Range implements hookhall.Store.
func (s *Store) Range(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.list(s.store.Range(ctx, prefix))
}

// RangeStale implements hookhall.Store.
func (s *Store) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.list(s.store.RangeStale(ctx, prefix))
}

func (s *Store) list(items []hookhall.Item, at hookhall.Revision, err error) ([]hookhall.Item, hookhall.Revision, error) {
	if err == nil {
		err = s.note(at.Era())
	}
	if err != nil {
		return nil, 0, err
	}
	return items, at, nil
}

// Watch implements hookhall.Store. What a watch of an earlier era missed is not told.
func (s *Store) Watch(ctx context.Context, prefix string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	if since.Era() < s.Era() {
		return nil, since, hookhall.ErrHistoryGone
	}
	events, at, err := s.store.Watch(ctx, prefix, since, wait)
	if err == nil {
		err = s.note(at.Era())
	}
	return events, at, err
}

// Put implements hookhall.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, lease hookhall.Lease) error {
	if s.over(lease) {
		return hookhall.ErrLeaseGone
	}
	return s.store.Put(ctx, key, value, lease)
}

// Swap implements hookhall.Store. What a condition of an earlier era was read from may have
// changed unseen.
//
// TODO: a return of the store that no answer has told of yet is found out by the answer to the
// write, which is done by then if another process has written the key at the same count.
func (s *Store) Swap(ctx context.Context, key string, value []byte, was hookhall.Revision) (hookhall.Revision, error) {
	if was > 0 && was.Era() < s.Era() {
		return 0, hookhall.ErrConflict
	}
	at, err := s.store.Swap(ctx, key, value, was)
	if err == nil {
		err = s.note(at.Era())
	}
	return at, err
}

// Grant implements hookhall.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (hookhall.Lease, error) {
	l, err := s.store.Grant(ctx, ttl)
	if err == nil {
		err = s.note(l.Era)
	}
	return l, err
}

// Renew implements hookhall.Store.
func (s *Store) Renew(ctx context.Context, lease hookhall.Lease) error {
	if s.over(lease) {
		return hookhall.ErrLeaseGone
	}
	return s.store.Renew(ctx, lease)
}

// Revoke implements hookhall.Store.
func (s *Store) Revoke(ctx context.Context, lease hookhall.Lease) error {
	if s.over(lease) {
		return nil
	}
	return s.store.Revoke(ctx, lease)
}

// over tells whether a lease ended with its era.
func (s *Store) over(lease hookhall.Lease) bool { return lease.Number != 0 && lease.Era < s.Era() }
