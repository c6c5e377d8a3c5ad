// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// drainLook is how often a drain looks.
	drainLook = 10 * time.Millisecond
	// stopRetry is when a client should come back, to another instance.
	stopRetry = 50 * time.Millisecond
)

// Drain stops a server without cutting a request off.
//
// net/http's own stop closes connections that it holds to be idle; one whose
// request has just been read, but is not yet counted as active, is closed too,
// and its request runs without an answer. A Drain closes no connection: it stops
// accepting, asks clients to close behind their answers, and soon refuses what
// still comes on kept connections, so that nothing is begun that the process
// could not end.
type Drain struct {
	next     http.Handler
	ending   context.Context // ends when requests have to
	end      context.CancelFunc
	refuse   func(w http.ResponseWriter, e *hookhall.Error)
	inflight atomic.Int64
	closing  atomic.Bool // answers ask the client to close
	refusing atomic.Bool // nothing is passed on any more
}

// NewDrain puts a Drain before next. refuse answers what comes in the end.
func NewDrain(next http.Handler, refuse func(w http.ResponseWriter, e *hookhall.Error)) *Drain {
	d := &Drain{next: next, refuse: refuse}
	d.ending, d.end = context.WithCancel(context.Background())
	return d
}

// InFlight is how many requests are in progress.
func (d *Drain) InFlight() int64 { return d.inflight.Load() }

// ServeHTTP implements http.Handler.
func (d *Drain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inflight.Add(1)
	defer d.inflight.Add(-1)
	if d.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	// The count above comes first: whoever sets refusing and then sees no
	// request in flight knows that none is passed on.
	if d.refusing.Load() {
		d.refuse(w, hookhall.Errorf(hookhall.NotRun, hookhall.CauseStopping, "this instance stops").After(stopRetry))
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(d.ending, func() { cancel(hookhall.ErrStopping) })
	defer stop()
	d.next.ServeHTTP(w, r.WithContext(ctx))
}

// Close asks clients to close behind their answers, from now on.
func (d *Drain) Close() { d.closing.Store(true) }

// Finish refuses what comes from now on and waits until nothing is in progress,
// or until ctx ends. It returns how many requests are left.
func (d *Drain) Finish(ctx context.Context) int64 {
	d.refusing.Store(true)
	return d.wait(ctx)
}

// End has what is in progress answered now, as far as it is not an answer that has begun:
// a request that waits has not run, and its client can go elsewhere. It waits for that
// until ctx ends, and returns how many requests are left.
func (d *Drain) End(ctx context.Context) int64 {
	d.end()
	return d.wait(ctx)
}

// wait waits until nothing is in progress, or until ctx ends.
func (d *Drain) wait(ctx context.Context) int64 {
	tick := time.NewTicker(drainLook)
	defer tick.Stop()
	for ctx.Err() == nil && d.inflight.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return d.inflight.Load()
}

// Listener can stop accepting without ending the server that accepts from it.
type Listener struct {
	net.Listener
	stopped chan struct{}
	closed  chan struct{}
	once    sync.Once
	end     sync.Once
}

// Listen listens at an IP number and port.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, stopped: make(chan struct{}), closed: make(chan struct{})}, nil
}

// StopAccepting refuses new connections.
func (l *Listener) StopAccepting() {
	l.once.Do(func() {
		close(l.stopped)
		_ = l.Listener.Close() // open connections are not concerned
	})
}

// Accept implements net.Listener; after StopAccepting it waits for Close.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
		return nil, net.ErrClosed
	default:
		return nil, err
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.StopAccepting()
	l.end.Do(func() { close(l.closed) })
	return nil
}
