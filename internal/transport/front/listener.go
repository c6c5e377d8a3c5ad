// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net"
	"sync"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/transport/sockets"
)

// Listener is a net.Listener that can stop accepting without ending the server that
// accepts from it. While no connection is to be accepted its socket is closed, so that the system
// refuses connections before clients send anything on them.
type Listener struct {
	address net.Addr
	intake  *Intake // nil accepts all connections; set before the first Accept

	mu      sync.Mutex
	changed *sync.Cond       // signalled when one of the fields below has changed
	socket  *net.TCPListener // nil while connections are refused
	stopped bool             // by StopAccepting
	closed  bool             // by Close
	closing *time.Timer      // nil unless the socket is due to be closed
	pauses  int64
}

// Listen listens on a TCP address given as IP address and port.
func Listen(address string) (*Listener, error) {
	socket, err := sockets.Listen(address)
	if err != nil {
		return nil, err
	}
	l := &Listener{address: socket.Addr(), socket: socket}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// Limit makes i decide about the connections. It must be called before the first Accept.
func (l *Listener) Limit(i *Intake) { l.intake, i.listener = i, l }

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Pauses returns how often connections were refused for a time.
func (l *Listener) Pauses() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauses
}

// StopAccepting closes the socket, so that new connections are refused. Connections
// already accepted stay open.
func (l *Listener) StopAccepting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.closeSocket()
}

// closeSocket closes the socket if it is open. The caller holds l.mu.
func (l *Listener) closeSocket() {
	if l.socket != nil {
		_ = l.socket.Close() // accepted connections stay open
		l.socket = nil
	}
	l.changed.Broadcast()
}

// Accept implements net.Listener. After StopAccepting it blocks until Close is called,
// because a server ends when Accept returns an error.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.pauseIfFull()
		socket := l.awaitSocket()
		if socket == nil {
			return nil, net.ErrClosed
		}
		c, err := socket.AcceptTCP()
		switch {
		case err != nil && l.isCurrent(socket):
			return nil, err
		case err != nil:
		case l.intake == nil:
			return c, nil
		default:
			return l.intake.admit(c), nil
		}
	}
}

// awaitSocket returns the socket once it is open, nil once the Listener is closed.
func (l *Listener) awaitSocket() *net.TCPListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.socket == nil && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil
	}
	return l.socket
}

// isCurrent reports whether socket is the one that is open.
func (l *Listener) isCurrent(socket *net.TCPListener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket == socket
}

// pauseIfFull closes the socket if the limit of requests is reached.
func (l *Listener) pauseIfFull() {
	if l.intake != nil && l.intake.Limiter.Full(clock.Now()) {
		l.pause()
	}
}

// pause refuses connections until the next call of openFor.
func (l *Listener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != nil && !l.stopped {
		l.closeSocket()
		l.pauses++
	}
}

// openFor accepts connections, for a time only unless that is 0. It returns an error if the address
// can't be opened, and may be called again then.
func (l *Listener) openFor(window time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	if l.closing != nil {
		l.closing.Stop()
		l.closing = nil
	}
	if l.socket == nil {
		socket, err := sockets.Listen(l.address.String())
		if err != nil {
			return err
		}
		l.socket = socket
		l.changed.Broadcast()
	}
	if window > 0 {
		l.closing = time.AfterFunc(window, l.pause)
	}
	return nil
}

// Close implements net.Listener. It also stops accepting.
func (l *Listener) Close() error {
	l.StopAccepting()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
	return nil
}
