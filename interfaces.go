// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Entry is a value of the key-value service with its modification index.
// Index 0 means that the key does not exist.
type Entry struct {
	Value []byte
	Index uint64
}

// ErrUnavailable is returned (wrapped) by platform adapters when no answer
// came: a write may or may not have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// KeyValue is the platform's key-value service.
type KeyValue interface {
	// Get reads a key; a missing key is Entry{} without error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's index still is index (0: the
	// key must not exist). An error means that the outcome is not known.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key; a missing one is no error.
	Delete(ctx context.Context, key string) error
	// Watch waits until the key's index differs from index or wait has
	// passed, and returns what the key holds then.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Entry, error)
}

// InstanceList is the platform's list of live and leaving instances. It lags.
type InstanceList interface {
	List(ctx context.Context) ([]Instance, error)
}

// Backend calls targets. Errors are *Error with a verdict.
type Backend interface {
	// Call runs one stage call. For streaming targets emit gets each chunk
	// in order; an error of emit cancels the call at the target. Canceling
	// ctx cancels the call at the target as well.
	Call(ctx context.Context, t Target, c StageCall, emit func([]byte) error) (StageResult, error)
	// Load reads the target's own report.
	Load(ctx context.Context, t Target) (LoadReport, error)
}

// Prober finds out whether anything listens at a target's address.
type Prober interface {
	// Refuses tells whether the address refuses a new connection: the process that
	// listened there has ended. An address that does not answer says nothing.
	Refuses(ctx context.Context, address string) bool
}

// Peer is another entry process.
type Peer interface {
	Probe(ctx context.Context, p Probe) (ProbeReply, error)
	ProbeFor(ctx context.Context, address string) (bool, error)
	Claim(ctx context.Context, c ClaimRequest) (ClaimReply, error)
	Copy(ctx context.Context, epoch uint64, r Record) (CopyReply, error)
	Settle(ctx context.Context, s Settlement) (CopyReply, error)
	Fetch(ctx context.Context, f FetchRequest) (FetchReply, error)
	Whole(ctx context.Context, epoch uint64) (bool, error)
	Take(ctx context.Context, t TakeRequest) (TakeReply, error)
	Table(ctx context.Context, have uint64) (TableDocument, error)
}

// Peers finds the client of the peer at an address.
type Peers interface {
	Peer(address string) Peer
}
