// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

// ErrOwnPath marks the error of a connection that broke because of this process's path to the
// target, as far as it knows: the error says nothing about the target.
var ErrOwnPath = errors.New("the path to the target broke")

// RelayRequest asks a peer to connect the caller to a target.
type RelayRequest struct {
	// TargetID and Address are those of a target. The peer connects only to targets that it
	// knows by both.
	TargetID string
	Address  string
	Urgency  int // of the request, 0 for the most urgent
	// AwaitReset makes the peer wait for a reset of the new connection, because the caller's
	// own connection was reset.
	AwaitReset bool
}

// RelayFailure says why a peer opened no connection.
type RelayFailure string

// The reasons. With the first three the peer could not reach the target either.
const (
	RelayRefused       RelayFailure = "refused"
	RelayReset         RelayFailure = "reset"
	RelayTimedOut      RelayFailure = "timeout"
	RelayCutOff        RelayFailure = "cut off"        // the peer can't reach any target
	RelayOverloaded    RelayFailure = "overloaded"     // the peer relays too much already
	RelayUnknownTarget RelayFailure = "unknown target" // the peer does not know the target
	RelayUnsupported   RelayFailure = "unsupported"    // the peer has an earlier version
	RelayLost          RelayFailure = "lost"           // the peer did not answer
)

// IsUnreachable reports whether the peer could not reach the target.
func (f RelayFailure) IsUnreachable() bool {
	return f == RelayRefused || f == RelayReset || f == RelayTimedOut
}

// RelayError is the error of a connection that a peer was asked for. No byte was sent to the
// target.
type RelayError struct {
	Failure RelayFailure
	Detail  string
}

// Error implements error.
func (e *RelayError) Error() string { return "relay: " + string(e.Failure) + ": " + e.Detail }

// Relay is a client of a peer that connects this process to targets.
type Relay interface {
	// Relay opens a connection to a target through the peer. Its error is a *RelayError. ctx
	// bounds opening it only.
	Relay(ctx context.Context, r RelayRequest) (net.Conn, error)
}
