// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// KeyValueEntry is a value of the key-value service with its modification index.
// Index 0 means that the key does not exist.
type KeyValueEntry struct {
	Value []byte
	Index uint64
}

// ErrUnavailable is returned (wrapped) by platform adapters when they received
// no answer. A write may or may not have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// KeyValue is the platform's key-value service.
type KeyValue interface {
	// Get reads a key. A missing key is the zero KeyValueEntry, without
	// an error.
	Get(ctx context.Context, key string) (KeyValueEntry, error)
	// CompareAndSwap writes value if the key still has the index (0: the key must
	// not exist), and reports whether it did. After an error it is not known
	// whether the value was written.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key. Deleting a missing key is not an error.
	Delete(ctx context.Context, key string) error
	// Watch blocks until the key's index differs from index or wait has passed,
	// and returns the value and index at that time.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (KeyValueEntry, error)
}

// InstanceList is the platform's list of live and leaving instances. It lags
// behind the actual state.
type InstanceList interface {
	// List returns all instances of the list, or ErrUnavailable (wrapped).
	List(ctx context.Context) ([]Instance, error)
}

// Backend calls targets. Errors are *Error with a verdict.
type Backend interface {
	// Call runs one stage call. For streaming targets emit receives the chunks in
	// order; if it returns an error the call is canceled at the target. Canceling
	// ctx cancels the call at the target as well.
	Call(ctx context.Context, t Target, c StageCall, emit func([]byte) error) (StageResult, error)
	// Load reads the target's load report.
	Load(ctx context.Context, t Target) (LoadReport, error)
}

// Prober checks whether a process listens at a target's address.
type Prober interface {
	// Refuses reports whether the address refuses a new connection, which shows that
	// the process that listened there has ended. It is false for an address that does
	// not answer, which shows nothing.
	Refuses(ctx context.Context, address string) bool
}

// Peer is a client of another entry process.
type Peer interface {
	// Probe sends a heartbeat.
	Probe(ctx context.Context, p Probe) (ProbeReply, error)
	// ProbeFor asks the peer to probe the entry at address, and reports whether the
	// peer reached it.
	ProbeFor(ctx context.Context, address string) (bool, error)
	// Claim asks the peer, as the owner of a key, for the right to run its request.
	Claim(ctx context.Context, c ClaimRequest) (ClaimReply, error)
	// Copy stores a record of the caller at the peer, its standby in the view of epoch.
	Copy(ctx context.Context, epoch uint64, r Record) (CopyReply, error)
	// Settle ends a claim at the peer, its owner.
	Settle(ctx context.Context, s Settlement) (CopyReply, error)
	// Fetch reads the peer's records of slots.
	Fetch(ctx context.Context, f FetchRequest) (FetchReply, error)
	// IsComplete reports whether the peer has reached epoch and has all records of its slots.
	IsComplete(ctx context.Context, epoch uint64) (bool, error)
	// LeaseShares leases shares of accounts' limits from the peer, their owner.
	LeaseShares(ctx context.Context, r ShareRequest) (ShareReply, error)
	// Table reads the peer's current table. have is the caller's version: the document
	// has only chunks that are newer, and neither root nor chunks if the peer's table is not.
	Table(ctx context.Context, have uint64) (TableDocument, error)
}

// Peers holds the clients of the other entry processes.
type Peers interface {
	// Peer returns the client of the peer at an address.
	Peer(address string) Peer
}
