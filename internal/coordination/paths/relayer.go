// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package paths

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/reach"
)

const (
	// relayDialTimeout bounds a connection that is opened for a peer, which asks another one
	// after that.
	relayDialTimeout = 120 * time.Millisecond
	// urgencyReserve is the part of the relayed connections, for each step of urgency, that
	// less urgent requests can't use; maxUrgencyReserve limits the sum.
	urgencyReserve    = 0.1
	maxUrgencyReserve = 0.5
)

// Relayer opens connections to targets for peers that can't reach them. Its fields are set before
// use; it is safe for concurrent use.
type Relayer struct {
	Paths *Paths
	// Dial opens a direct connection. If awaitReset is set it fails if the connection is reset
	// at once.
	Dial func(ctx context.Context, address string, awaitReset bool) (net.Conn, error)
	// IsOverloaded reports whether this process can't take further work.
	IsOverloaded func() bool
	// MaxConnections is how many relayed connections may be open.
	MaxConnections int

	open     atomic.Int64
	refusing atomic.Bool
}

// drainPollInterval is how often Drain looks for open connections.
const drainPollInterval = 10 * time.Millisecond

// Refuse makes the Relayer open no further connections.
func (r *Relayer) Refuse() { r.refusing.Store(true) }

// Drain waits until no connection is open or ctx ends, and returns how many are open.
func (r *Relayer) Drain(ctx context.Context) int64 {
	for r.open.Load() > 0 && retry.Sleep(ctx, drainPollInterval) {
	}
	return r.open.Load()
}

// Open opens a connection for a peer. Its error is a *hookhall.RelayError.
func (r *Relayer) Open(ctx context.Context, request hookhall.RelayRequest, peer string) (net.Conn, error) {
	c, failure := r.connect(ctx, request)
	if failure != nil {
		r.Paths.Meter.Relayed(string(failure.Failure))
		r.Paths.Log.Debug("no connection relayed", "peer", peer, "target", request.TargetID, "failure", failure.Failure, "detail", failure.Detail, "open", r.open.Load())
		return nil, failure
	}
	r.Paths.Meter.Relayed(outcomeConnected)
	r.Paths.Log.Debug("connection relayed", "peer", peer, "target", request.TargetID, "open", r.open.Load())
	return c, nil
}

// OpenCount returns the number of relayed connections that are open.
func (r *Relayer) OpenCount() int64 { return r.open.Load() }

// connect admits the request and opens its connection.
func (r *Relayer) connect(ctx context.Context, request hookhall.RelayRequest) (net.Conn, *hookhall.RelayError) {
	target, known := r.Paths.Targets.TargetAt(request.Address)
	switch {
	case !known || target.ID != request.TargetID:
		return nil, &hookhall.RelayError{Failure: hookhall.RelayUnknownTarget, Detail: request.TargetID + " is not listed at " + request.Address}
	case r.Paths.Table.Isolated():
		return nil, &hookhall.RelayError{Failure: hookhall.RelayCutOff, Detail: "this gateway reaches no target itself"}
	case r.refusing.Load() || r.IsOverloaded() || !r.admit(request.Urgency):
		return nil, &hookhall.RelayError{Failure: hookhall.RelayOverloaded, Detail: "this gateway relays no further connections"}
	}
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	c, err := r.Dial(ctx, request.Address, request.AwaitReset)
	if err != nil {
		r.open.Add(-1)
		failure := failureOf(err)
		r.Paths.recordFailed(request.Address, failure, err)
		return nil, &hookhall.RelayError{Failure: relayFailures[failure], Detail: err.Error()}
	}
	r.Paths.recordConnected(request.Address)
	return &countedConn{Conn: c, release: func() { r.open.Add(-1) }}, nil
}

// relayFailures has the failure that a peer receives for each failure of a direct attempt.
var relayFailures = map[reach.Failure]hookhall.RelayFailure{
	reach.Refused: hookhall.RelayRefused, reach.Reset: hookhall.RelayReset, reach.TimedOut: hookhall.RelayTimedOut,
}

// admit counts a connection of the given urgency, unless too many are open.
func (r *Relayer) admit(urgency int) bool {
	reserve := min(urgencyReserve*float64(max(urgency, 0)), maxUrgencyReserve)
	if float64(r.open.Add(1)) <= (1-reserve)*float64(r.MaxConnections) {
		return true
	}
	r.open.Add(-1)
	return false
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	release   func()
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}
