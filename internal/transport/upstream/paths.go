// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"net"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/transport/sockets"
	"github.com/pkg/errors"
)

// Paths opens connections to targets, directly or through peers.
type Paths interface {
	// Connect opens a connection to the target at address, for a request of the given urgency.
	// direct opens one from this process. The error means that nothing was sent.
	Connect(ctx context.Context, address string, urgency int, direct func(context.Context) (net.Conn, error)) (net.Conn, error)
	// Answered records the answer of a target on a direct connection.
	Answered()
	// Broke records that a direct connection broke before its answer ended, and returns true
	// if the cause is this process's path to the target.
	Broke(address string) (isOwnPath bool)
	// IsIsolated reports whether this process can't connect to any target that its peers reach.
	IsIsolated() bool
	// ConfirmsRefusal reports whether peers, too, get a connection to an address refused.
	ConfirmsRefusal(ctx context.Context, address string) bool
}

// DialForPeer opens a direct connection for the use of a peer. If awaitReset is set it fails if
// the connection is reset at once. A Read of it does not return io.EOF after a Write has failed.
func (p *Pool) DialForPeer(ctx context.Context, address string, awaitReset bool) (net.Conn, error) {
	c, err := p.dialAwaitingReset(ctx, address, awaitReset)
	if err != nil {
		return nil, err
	}
	return sockets.RememberBreak(&peekedConn{Conn: c.Conn, reader: c.reader}), nil
}

// peekedConn is a connection whose first bytes may be in a buffer.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Probe opens a direct connection to an address, waits for a reset, and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dialAwaitingReset(ctx, address, true)
	if err != nil {
		return err
	}
	return c.Close()
}

// markOwnPath returns the error of a read from c, marked with hookhall.ErrOwnPath if the cause is
// this process's path to the target. A request that was out of time is so marked if this
// process is isolated; one whose client left says nothing.
func (p *Pool) markOwnPath(ctx context.Context, c *conn, err error) error {
	var misdirected *hookhall.Error
	if p.Paths == nil || c.relay != "" || errors.As(err, &misdirected) {
		return err
	}
	isOwnPath := false
	switch ctx.Err() {
	case nil:
		isOwnPath = p.Paths.Broke(c.address)
	case context.DeadlineExceeded:
		isOwnPath = p.Paths.IsIsolated()
	}
	if !isOwnPath {
		return err
	}
	return &ownPathError{err}
}

// ownPathError is an error that hookhall.ErrOwnPath marks.
type ownPathError struct{ error }

// Is makes errors.Is match hookhall.ErrOwnPath.
func (e *ownPathError) Is(target error) bool { return target == hookhall.ErrOwnPath }

// Unwrap returns the error of the connection.
func (e *ownPathError) Unwrap() error { return e.error }
