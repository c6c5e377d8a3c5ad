// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Item is a key of the platform's store, with its value at one revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of this key; 0 when the key
	// does not exist.
	Revision Revision
	// Created is the store's revision at the creation of the key, 0 if the store does not state it.
	Created Revision
	// Deleted is set in events that report the removal of the key.
	Deleted bool
}

// Errors of a Store, beside ErrUnavailable.
var (
	// ErrHistoryGone: the store no longer has the events that a watch asked for. The
	// caller has to read the range again.
	ErrHistoryGone = errors.New("history is gone")
	// ErrLeaseGone: the lease has expired, and its keys were removed.
	ErrLeaseGone = errors.New("lease is gone")
	// ErrConflict: a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition does not hold")
)

// Store is the platform's metadata store, with ranges, watches and leases.
// Reads are linearizable, except RangeStale. A call that failed with ErrUnavailable may
// still take effect, also after the failure.
type Store interface {
	// Get returns a key and the store's revision. A missing key is an Item with
	// Revision 0.
	Get(ctx context.Context, key string) (item Item, at Revision, err error)
	// Range returns all keys with a prefix, and the store's revision before the
	// first page was read.
	Range(ctx context.Context, prefix string) (items []Item, at Revision, err error)
	// RangeStale is Range from a copy that may be some seconds old, at a tenth of
	// the cost to the store.
	RangeStale(ctx context.Context, prefix string) (items []Item, at Revision, err error)
	// Watch waits for changes after a revision. It is not an error if there are none
	// within wait.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (events []Item, at Revision, err error)
	// Put writes a key under a lease, or without one if lease is zero.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
	// Swap writes a key, without a lease, if the key's last change was at revision
	// previous (0: the key must not exist), and returns the revision of the write. It
	// returns ErrConflict if the last change was at another revision.
	Swap(ctx context.Context, key string, value []byte, previous Revision) (at Revision, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error)
	// Renew extends a lease by its time to live.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}

// StoreSchema defines the keys of the operators and of the targets in a store, and how their
// values are decoded.
type StoreSchema interface {
	// OperatorPrefix returns the prefix of all keys that operators write.
	OperatorPrefix() string
	// RoutingKey returns the key of the operators' table.
	RoutingKey() string
	// EvacuatedHall returns the hall that is evacuated while an operators' key exists.
	// ok is false for a key that evacuates no hall.
	EvacuatedHall(key string) (hall string, ok bool)
	// TargetPrefix returns the prefix of the keys that targets write.
	TargetPrefix() string
	// ReadRouting decodes the operators' table.
	ReadRouting(value []byte) (*Routing, error)
	// ReadTarget decodes a target's key and value.
	ReadTarget(key string, value []byte) (Target, error)
}
