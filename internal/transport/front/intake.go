// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/intake"
)

// expectTimeout is how long an accepted connection counts as a request while it sends nothing.
const expectTimeout = 100 * time.Millisecond

// Intake decides which requests of clients are read. While the Limiter has a limit, requests beyond
// it stay unread: connections are refused, and those on which one arrives are closed, so that clients
// try another instance at once.
type Intake struct {
	Limiter *intake.Limiter
	// OnClosedUnread is called for each connection that is closed with a request unread. It may be
	// nil.
	OnClosedUnread func()
	// MaxHead returns the operators' limit of a request's head in bytes, 0 if none is known. It may be
	// nil, as may OnHeadTooLong, which is called for each request that exceeds the limit.
	MaxHead       func() int
	OnHeadTooLong func()

	closedUnread, closedIdle atomic.Int64
	listener                 *Listener

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// ClosedIdle returns the number of connections that were closed without a request.
func (i *Intake) ClosedIdle() int64 { return i.closedIdle.Load() }

// ClosedUnread returns the number of connections that were closed with a request unread.
func (i *Intake) ClosedUnread() int64 { return i.closedUnread.Load() }

// phase says what a connection is doing.
type phase int

const (
	phaseIdle     phase = iota // awaits a request, which must be admitted
	phaseExpected              // new, and counted as a request
	phaseActive                // a request is counted as in progress
	phaseClosed
)

// clientConn is a connection of a client whose requests are admitted before they are read.
type clientConn struct {
	*net.TCPConn
	intake *Intake
	// inHead is set until the head of a request is read, and headLeft is how many bytes it may still have.
	inHead   atomic.Bool
	headLeft atomic.Int64

	mu     sync.Mutex
	phase  phase
	expiry *time.Timer // of phaseExpected
}

// admit returns c with its requests subject to i. A new connection counts as a request for
// expectTimeout.
func (i *Intake) admit(c *net.TCPConn) net.Conn {
	connection := &clientConn{TCPConn: c, intake: i}
	connection.beginHead()
	if i.Limiter.Limited() {
		i.Limiter.Expect()
		connection.phase = phaseExpected
		connection.expiry = time.AfterFunc(expectTimeout, connection.expire)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[*clientConn]struct{}{}
	}
	i.conns[connection] = struct{}{}
	return connection
}

// forget removes a connection that has ended.
func (i *Intake) forget(c *clientConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

// closeIdle closes the connections without a request, so that their clients send the next one to another
// instance, before they have sent it here.
func (i *Intake) closeIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.closeIfIdle() {
			delete(i.conns, c)
			i.closedIdle.Add(1)
		}
	}
}

// closeIfIdle closes the connection if it has no request, and reports whether it did.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return false
	}
	c.phase = phaseClosed
	_ = c.TCPConn.Close() // its server notices that
	return true
}

// expire ends the expectation of a request.
func (c *clientConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseExpected {
		c.phase = phaseIdle
		c.intake.Limiter.Forget()
	}
}

// Read implements net.Conn. Before the first byte of a request it waits until there is one, and
// closes the connection if the request may not be read.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.isAwaiting() && c.intake.Limiter.Limited() {
		if err := c.awaitInput(); err != nil {
			return 0, err
		}
		if !c.begin() {
			_ = c.TCPConn.SetLinger(0) // fails on a closed connection
			_ = c.TCPConn.Close()
			c.intake.closedUnread.Add(1)
			if c.intake.OnClosedUnread != nil {
				c.intake.OnClosedUnread()
			}
			return 0, io.EOF
		}
	}
	n, err := c.readBounded(b)
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// markActive counts the request whose first bytes were read, unless it is counted already.
func (c *clientConn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseExpected:
		c.expiry.Stop()
		c.intake.Limiter.BeginExpected()
	case phaseIdle:
		c.intake.Limiter.Begin()
	default:
		return
	}
	c.phase = phaseActive
}

// isAwaiting reports whether the connection awaits a request.
func (c *clientConn) isAwaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != phaseActive && c.phase != phaseClosed
}

// begin counts a request whose first bytes have arrived, and reports whether it may be read.
func (c *clientConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseExpected:
		c.expiry.Stop()
		c.intake.Limiter.BeginExpected()
	case c.phase != phaseIdle, !c.intake.Limiter.TryBegin(clock.Now()):
		return false
	}
	c.phase = phaseActive
	return true
}

// awaitInput returns when there are bytes to read or the connection has ended.
func (c *clientConn) awaitInput() error {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return errno != syscall.EAGAIN && errno != syscall.EINTR
	})
}

// StateChanged is a function for http.Server.ConnState.
func (i *Intake) StateChanged(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.markActive() // of a request that was read together with the one before
	case http.StateIdle:
		c.beginHead()
		c.end(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.end(phaseClosed)
		i.forget(c)
	}
}

// end ends what the connection is doing.
func (c *clientConn) end(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseActive:
		c.intake.Limiter.End()
	case phaseExpected:
		c.expiry.Stop()
		c.intake.Limiter.Forget()
	case phaseClosed:
		return
	}
	c.phase = next
}

// Adjust sets the limits by the delay of the process in the last interval, and opens the listener for
// as much of the next one as they allow, which it returns.
func (i *Intake) Adjust(d intake.Delay, interval time.Duration) (window time.Duration, change intake.Change, err error) {
	window, change = i.Limiter.Adjust(d, interval, clock.Now())
	if i.Limiter.Delayed() {
		i.closeIdle()
	}
	switch {
	case window >= interval:
		err = i.listener.openFor(0)
	case window > 0:
		err = i.listener.openFor(window)
	default:
		i.listener.pause()
	}
	return window, change, err
}
