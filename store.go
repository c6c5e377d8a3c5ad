// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Item is a key of the platform's store at one revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's count of changes at this key's last one; 0 when
	// the key does not exist.
	Revision Revision
	// Gone is set in events: the key was removed.
	Gone bool
}

// Errors of a Store, beside ErrUnavailable.
var (
	// ErrHistoryGone: the store has forgotten what a watch asked for; read the
	// range again.
	ErrHistoryGone = errors.New("history is gone")
	// ErrLeaseGone: the lease has run out; its keys are gone.
	ErrLeaseGone = errors.New("lease is gone")
	// ErrConflict: a condition did not hold; nothing was written.
	ErrConflict = errors.New("condition does not hold")
)

// Store is the platform's metadata store, with ranges, watches and leases.
// Reads are linearizable but for RangeStale. A call that ended with ErrUnavailable may still be
// done, also later.
type Store interface {
	// Get reads a key, and the store's revision; a missing key is an Item with
	// Revision 0.
	Get(ctx context.Context, key string) (item Item, at Revision, err error)
	// Range reads all keys with a prefix, and the store's revision before the
	// first page.
	Range(ctx context.Context, prefix string) (items []Item, at Revision, err error)
	// RangeStale is Range from a copy that may be some seconds old, at a tenth of
	// the cost to the store.
	RangeStale(ctx context.Context, prefix string) (items []Item, at Revision, err error)
	// Watch waits for changes after a revision; none within wait is no error.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (events []Item, at Revision, err error)
	// Put writes a key under a lease (its zero value for none).
	Put(ctx context.Context, key string, value []byte, lease Lease) error
	// Swap writes a key, without a lease, if its last change was at a revision (0: it must
	// not exist), and returns that of the write; ErrConflict when it was not.
	Swap(ctx context.Context, key string, value []byte, was Revision) (at Revision, err error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease Lease, err error)
	// Renew extends a lease.
	Renew(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}

// Platform tells where things lie in a store and how they are read.
type Platform interface {
	// OperatorPrefix is the prefix of all keys that operators write.
	OperatorPrefix() string
	// RoutingKey is the key of the operators' table.
	RoutingKey() string
	// EvacuatedHall is the hall that a key of the operators evacuates while it
	// exists; ok is false for any other key.
	EvacuatedHall(key string) (hall string, ok bool)
	// TargetPrefix is the prefix of the targets' own keys.
	TargetPrefix() string
	// ReadRouting decodes the operators' table.
	ReadRouting(value []byte) (*Routing, error)
	// ReadTarget decodes a target's key.
	ReadTarget(key string, value []byte) (Target, error)
}
