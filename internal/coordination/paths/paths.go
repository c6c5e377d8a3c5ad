// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package paths

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/reach"
	"github.com/pkg/errors"
)

const (
	// hedgeDelay is how long a direct attempt may take before a relay is asked, too: some ten
	// round trips between halls.
	hedgeDelay = 100 * time.Millisecond
	// maxHedgeLateness is how late the timer for that may fire. A process that lags is slow with
	// every connection, and relays would only add to the load.
	maxHedgeLateness = 30 * time.Millisecond
	// probeTick is the interval at which due probes are looked for while there are any.
	probeTick = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// maxReferenceTargets is how many other targets are tried before a refusal is held against a
	// target.
	maxReferenceTargets = 3
)

// Meter counts connections to targets.
type Meter interface {
	// ConnectionFailed counts a direct connection to a target that failed.
	ConnectionFailed(kind string)
	// TargetsUnreachable sets the number of targets that this process can't connect to.
	TargetsUnreachable(n int)
	// Isolated sets whether this process can't connect to any target.
	Isolated(isolated bool)
	// RelayAsked counts a peer that was asked for a connection; outcome is "connected" or a
	// hookhall.RelayFailure.
	RelayAsked(outcome string)
	// Relayed counts a connection that this process was asked to relay, by the same outcomes.
	Relayed(outcome string)
}

// Fleet lists the members.
type Fleet interface {
	// Self returns this process.
	Self() hookhall.Member
	// All returns all members, this process included. The caller must not change the slice.
	All() []hookhall.Member
	// Suspected reports whether a member did not answer lately.
	Suspected(address string, now time.Time) bool
}

// Targets knows the targets by address.
type Targets interface {
	// TargetAt returns the target that is listed with an address.
	TargetAt(address string) (t hookhall.Target, ok bool)
	// SampleTarget returns a random target that may be used and whose address is not in skip.
	SampleTarget(skip map[string]bool) (t hookhall.Target, ok bool)
}

// Paths opens connections to targets. Its fields are set before use; it is safe for concurrent
// use.
type Paths struct {
	Table   *reach.Table
	Breaks  *reach.Breaks
	Relays  *reach.Relays
	Fleet   Fleet
	Targets Targets
	// Remote returns the client of the peer at address.
	Remote func(address string) hookhall.Relay
	// Probe opens a direct connection to an address and closes it. It fails if the connection is
	// reset at once.
	Probe func(ctx context.Context, address string) error
	// CloseIdle closes the idle connections to an address, or to all if it is "".
	CloseIdle func(address string)
	// AbandonSilent gives the requests up that were sent directly before a time, have no answer
	// yet, and may be sent again. It returns their number; it may be nil.
	AbandonSilent func(sentBefore time.Time) int
	// OnIsolated is called when an isolation begins or ends. It must not block; it may be nil.
	OnIsolated func(isolated bool)
	Meter      Meter
	Log        *log.Logger

	isProbing    atomic.Bool
	isConfirming atomic.Bool
	// hasAnswered is set once a target has answered directly since the last isolation began.
	hasAnswered atomic.Bool
}

// Connect opens a connection to the target at address for a request of the given urgency. direct
// opens one from this process. The error means that nothing was sent.
func (p *Paths) Connect(ctx context.Context, address string, urgency int, direct func(context.Context) (net.Conn, error)) (net.Conn, error) {
	if p.Table.Path(address, clock.Now()) == reach.Relayed {
		c, err := p.relay(ctx, hookhall.RelayRequest{Address: address, Urgency: urgency})
		if err == nil || ctx.Err() != nil || p.Table.Isolated() {
			return c, err
		}
	}
	return p.connectHedged(ctx, address, urgency, direct)
}

// connectHedged opens a connection directly, or through a relay if that fails or is slow.
func (p *Paths) connectHedged(ctx context.Context, address string, urgency int, direct func(context.Context) (net.Conn, error)) (net.Conn, error) {
	directCtx, cancelDirect := context.WithCancel(ctx)
	defer cancelDirect()
	h := p.startHedge(ctx, hookhall.RelayRequest{Address: address, Urgency: urgency}, cancelDirect)
	defer h.cancel()
	c, err := direct(directCtx)
	if err == nil {
		h.discard()
		p.recordConnected(address)
		return c, nil
	}
	relayed, wasAsked := h.take()
	if errors.Is(ctx.Err(), context.Canceled) {
		if relayed != nil {
			_ = relayed.Close()
		}
		return nil, err
	}
	failure := failureOf(err)
	p.recordFailed(address, failure, err)
	if !wasAsked && p.Table.MayRelay(address, clock.Now()) {
		relayed, _ = p.relay(ctx, hookhall.RelayRequest{Address: address, Urgency: urgency, AwaitReset: failure == reach.Reset})
	}
	if relayed == nil {
		return nil, err // says more than the error of the relay
	}
	p.recordDetour(address, failure)
	return relayed, nil
}

// hedge is an attempt through a relay that begins if the direct one is slow.
type hedge struct {
	cancel context.CancelFunc
	timer  *time.Timer
	// wasAsked is set if a relay was asked. It may be read once result has a value.
	wasAsked bool
	result   chan net.Conn // has one value once the timer has fired: nil if there is no connection
}

// startHedge asks a relay after hedgeDelay, and calls onConnected if it has connected.
func (p *Paths) startHedge(ctx context.Context, request hookhall.RelayRequest, onConnected func()) *hedge {
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{cancel: cancel, result: make(chan net.Conn, 1)}
	due := clock.Now().Add(hedgeDelay)
	h.timer = time.AfterFunc(hedgeDelay, func() {
		now := clock.Now()
		if now.Sub(due) > maxHedgeLateness || !p.Table.MayRelay(request.Address, now) {
			h.result <- nil
			return
		}
		h.wasAsked = true
		c, err := p.relay(ctx, request)
		h.result <- c
		if err == nil {
			onConnected()
		}
	})
	return h
}

// take ends the hedge, waits for its connection if one was asked for, and returns that, nil if there
// is none.
func (h *hedge) take() (c net.Conn, wasAsked bool) {
	if h.timer.Stop() {
		return nil, false
	}
	c = <-h.result
	return c, h.wasAsked
}

// discard ends the hedge and closes its connection, without waiting for it.
func (h *hedge) discard() {
	h.cancel()
	if h.timer.Stop() {
		return
	}
	go func() {
		if c := <-h.result; c != nil {
			_ = c.Close()
		}
	}()
}

// recordConnected records a direct connection.
func (p *Paths) recordConnected(address string) {
	lost, returned := p.Table.Connected(address, clock.Now())
	if lost > 0 {
		p.Log.Info("target reachable again", "address", address, "lost", lost, "unreachable", p.Table.Count())
		p.Meter.TargetsUnreachable(p.Table.Count())
	}
	if returned {
		p.setIsolated(false)
	}
}

// recordFailed records a direct connection that failed.
func (p *Paths) recordFailed(address string, failure reach.Failure, err error) {
	p.Meter.ConnectionFailed(string(failure))
	if p.Table.Failed(address, failure, clock.Now()) {
		p.Log.Warn("target can't be connected to from this gateway", "address", address, "kind", failure, "unreachable", p.Table.Count(), "error", err.Error())
		p.Meter.TargetsUnreachable(p.Table.Count())
	}
	if p.Table.Suspected() {
		p.confirmIsolation(failure)
	}
}

// recordDetour records that a relay reached a target that this process could not connect to, in the
// given way. Idle connections over a path that answers nothing are closed; if new
// connections are refused, those that are open may work.
func (p *Paths) recordDetour(address string, failure reach.Failure) {
	p.Table.RelayConnected(address, clock.Now())
	if failure != reach.Refused {
		p.CloseIdle(address)
	}
	if p.Table.Suspected() {
		p.confirmIsolation(failure)
	}
	p.startProbes()
}

// failureOf returns the kind of an error of a direct attempt. An attempt that was canceled because
// a relay was faster counts as one without an answer.
func failureOf(err error) reach.Failure {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled), errors.As(err, &timeout) && timeout.Timeout():
		return reach.TimedOut
	}
	return reach.Reset
}

// startProbes probes targets while there are detours or an isolation.
func (p *Paths) startProbes() {
	if !p.isProbing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for p.Table.NeedsProbes() {
			p.probeNext()
			retry.Sleep(context.Background(), probeTick)
		}
		p.isProbing.Store(false)
		if p.Table.NeedsProbes() { // a detour that began before the flag was cleared
			p.startProbes()
		}
	}()
}

// probeNext makes the next probe if one is due.
func (p *Paths) probeNext() {
	wasIsolated := p.Table.Isolated()
	address, ok := p.Table.NextProbe(clock.Now())
	if !ok {
		if wasIsolated && !p.Table.Isolated() {
			p.setIsolated(false) // no request has needed it lately
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if err := p.Probe(ctx, address); err != nil {
		p.recordFailed(address, failureOf(err), err)
		return
	}
	p.recordConnected(address)
}

// Answered records the answer of a target on a direct connection.
func (p *Paths) Answered() {
	p.Breaks.Answered()
	p.Table.Answered()
	if !p.hasAnswered.Load() {
		p.hasAnswered.Store(true)
	}
}

// IsIsolated reports whether this process can't connect to any target that its peers reach.
func (p *Paths) IsIsolated() bool { return p.Table.Isolated() }

// Broke records that the direct connection to a target broke before its answer ended. It returns
// true if the cause is this process's path.
func (p *Paths) Broke(address string) (isOwnPath bool) {
	return p.Breaks.Broke(address, clock.Now()) || p.Table.Isolated()
}

// ConfirmsRefusal reports whether peers, too, get a connection to a target refused that refused one
// of this process. Without a peer to compare with, it is true only if there are no peers that
// relay. A process that reaches no other target either can't tell a target that has ended from
// links that refuse, and its peers may have the same links.
func (p *Paths) ConfirmsRefusal(ctx context.Context, address string) bool {
	if !p.reachesAnother(ctx, address) {
		return false
	}
	c, err := p.relay(ctx, hookhall.RelayRequest{Address: address})
	if err == nil {
		_ = c.Close()
		return false
	}
	var failure *hookhall.RelayError
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Failure == hookhall.RelayRefused || failure.Failure == hookhall.RelayUnsupported
}

// reachesAnother reports whether this process connects to one of up to maxReferenceTargets others
// than the target at an address, or whether there is no other.
func (p *Paths) reachesAnother(ctx context.Context, address string) bool {
	skip := map[string]bool{address: true}
	for range maxReferenceTargets {
		target, ok := p.Targets.SampleTarget(skip)
		if !ok {
			break
		}
		skip[target.Address] = true
		if p.Probe(ctx, target.Address) == nil {
			return true
		}
	}
	return len(skip) == 1
}
