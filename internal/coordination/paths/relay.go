// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package paths

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	// relayTimeout bounds opening a connection through relays, all attempts together.
	relayTimeout = 400 * time.Millisecond
	// maxRelayAttempts is how many peers are asked for one connection.
	maxRelayAttempts = 4
	// confirmations is how many peers have to say that they can't reach a target either: one
	// may be cut off without knowing it yet. All attempts are made while this process fails to
	// reach several targets, since more peers may then be cut off with it.
	confirmations = 2
	// How long a peer is not asked again that could not relay.
	cutOffExclusion      = time.Second
	overloadedExclusion  = 200 * time.Millisecond
	unsupportedExclusion = time.Minute
	// outcomeConnected is the metric's label of a connection that was opened.
	outcomeConnected = "connected"
)

// relay opens a connection to the target at the address in r through a peer. Its error is a
// *hookhall.RelayError: of the last peer that could not reach the target, or else of the last
// that could not relay.
func (p *Paths) relay(ctx context.Context, r hookhall.RelayRequest) (net.Conn, error) {
	target, ok := p.Targets.TargetAt(r.Address)
	if !ok {
		return nil, &hookhall.RelayError{Failure: hookhall.RelayUnknownTarget, Detail: "no target is listed at " + r.Address}
	}
	r.TargetID = target.ID
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	last := &hookhall.RelayError{Failure: hookhall.RelayUnsupported, Detail: "there is no peer to ask"}
	tried := map[string]bool{}
	unreachable, needed := 0, confirmations
	if p.Table.InDoubt() {
		needed = maxRelayAttempts
	}
	for len(tried) < maxRelayAttempts && unreachable < needed && ctx.Err() == nil {
		peer, ok := p.pickPeer(tried)
		if !ok {
			break
		}
		tried[peer.Address] = true
		c, failure := p.askPeer(ctx, peer.Address, r)
		if failure == nil {
			return c, nil
		}
		if unreachable > 0 && !failure.Failure.IsUnreachable() {
			continue
		}
		last = failure
		if failure.Failure.IsUnreachable() {
			unreachable++
		}
		if failure.Failure == hookhall.RelayTimedOut && needed == confirmations {
			break // another one would take as long
		}
	}
	if unreachable > 0 {
		p.Table.RelayFailed(r.Address, clock.Now())
	}
	return nil, last
}

// pickPeer returns the next peer to ask.
func (p *Paths) pickPeer(tried map[string]bool) (hookhall.Member, bool) {
	now := clock.Now()
	for {
		peer, ok := p.Relays.Pick(p.Fleet.All(), p.Fleet.Self(), tried, now)
		if !ok || !p.Fleet.Suspected(peer.Address, now) {
			return peer, ok
		}
		tried[peer.Address] = true
	}
}

// askPeer asks one peer for a connection, and records the outcome.
func (p *Paths) askPeer(ctx context.Context, address string, r hookhall.RelayRequest) (net.Conn, *hookhall.RelayError) {
	c, err := p.Remote(address).Relay(ctx, r)
	now := clock.Now()
	if err == nil {
		p.Meter.RelayAsked(outcomeConnected)
		p.Relays.Opened(address, now)
		p.Log.Debug("connected through a peer", "target", r.TargetID, "peer", address)
		return &relayedConn{Conn: c, relay: address, closed: func() { p.Relays.Closed(address) }}, nil
	}
	var failure *hookhall.RelayError
	if !errors.As(err, &failure) {
		failure = &hookhall.RelayError{Failure: hookhall.RelayLost, Detail: err.Error()}
	}
	p.Meter.RelayAsked(string(failure.Failure))
	p.Log.Debug("peer opened no connection", "target", r.TargetID, "peer", address, "failure", failure.Failure, "detail", failure.Detail)
	switch failure.Failure {
	case hookhall.RelayCutOff, hookhall.RelayLost:
		p.Relays.Exclude(address, now.Add(cutOffExclusion))
	case hookhall.RelayOverloaded:
		p.Relays.Exclude(address, now.Add(overloadedExclusion))
	case hookhall.RelayUnsupported:
		p.Relays.Exclude(address, now.Add(unsupportedExclusion))
	}
	return nil, failure
}

// relayedConn is a connection through a peer.
type relayedConn struct {
	net.Conn
	relay     string
	closed    func()
	closeOnce sync.Once
}

// Relay returns the address of the peer.
func (c *relayedConn) Relay() string { return c.relay }

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	c.closeOnce.Do(c.closed)
	return c.Conn.Close()
}
