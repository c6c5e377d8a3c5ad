// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// drainPollInterval is how often a drain checks for requests in progress.
	drainPollInterval = 10 * time.Millisecond
	// stopRetryDelay is the delay after which a client should retry at another
	// instance.
	stopRetryDelay = 50 * time.Millisecond
)

// Drain is an http.Handler that stops a server without cutting off a request.
//
// http.Server.Shutdown closes connections that it considers idle. This includes one
// whose request has just been read but is not yet counted as active: the request runs
// and its client gets no answer. A Drain closes no connection. It asks clients to close
// their connections after the next answer, then refuses the requests that still arrive
// on kept connections, so that no request starts that the process could not finish. That
// holds for those whose body is still being read, too, unless their time limit ends before
// the stop does. The caller stops its Listener from accepting.
type Drain struct {
	next               http.Handler
	refused            context.Context // done when new requests are refused
	beginRefusing      context.CancelFunc
	end                time.Time       // of the stop, zero if there is none; set before refused is done
	aborted            context.Context // done when the requests in progress must be answered at once
	cancelAbort        context.CancelFunc
	refuse             func(w http.ResponseWriter, e *hookhall.Error) // writes a refusal
	inFlight           atomic.Int64
	keepAlivesDisabled atomic.Bool // answers carry Connection: close
}

// NewDrain returns a Drain that passes requests to next. refuse writes the answer to a
// refused request.
func NewDrain(next http.Handler, refuse func(w http.ResponseWriter, e *hookhall.Error)) *Drain {
	d := &Drain{next: next, refuse: refuse}
	d.refused, d.beginRefusing = context.WithCancel(context.Background())
	d.aborted, d.cancelAbort = context.WithCancel(context.Background())
	return d
}

// InFlight returns the number of requests in progress.
func (d *Drain) InFlight() int64 { return d.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (d *Drain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	if d.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	// The request is counted before refused is read: if that is done and no request is
	// in flight, no further request can be passed on.
	if d.refused.Err() != nil {
		boundBodyRest(w)
		d.refuse(w, hookhall.Errorf(hookhall.NotRun, hookhall.CauseStopping, "this instance stops").WithRetryAfter(stopRetryDelay))
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(d.aborted, func() { cancel(hookhall.ErrStopping) })
	defer stop()
	d.next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, drainKey{}, d)))
}

// drainKey is the key of the *Drain in the context of a request.
type drainKey struct{}

// unservable watches whether a request whose body is being read can still be served.
type unservable struct {
	mu                 sync.Mutex
	isDone, isReported bool
	stop               func() bool
}

// watchUnservable calls f in a goroutine once a request whose time limit ends at limit must not be passed on
// any more: the process stops, and may do so before the request ends. ctx is the request's context. The caller must
// call done.
func watchUnservable(ctx context.Context, limit time.Time, f func()) *unservable {
	u := &unservable{stop: func() bool { return true }}
	d, ok := ctx.Value(drainKey{}).(*Drain)
	if !ok {
		return u
	}
	u.stop = context.AfterFunc(d.refused, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if left, ok := d.EndsIn(); !u.isDone && ok && clock.Until(limit) > left {
			u.isReported = true
			f()
		}
	})
	return u
}

// done ends the watch, and reports whether its function was called.
func (u *unservable) done() bool {
	u.stop()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isDone = true
	return u.isReported
}

// EndsIn returns the time until the end of the stop. ok is false before requests are refused, and if the stop has
// no end.
func (d *Drain) EndsIn() (left time.Duration, ok bool) {
	if d.refused.Err() == nil || d.end.IsZero() {
		return 0, false
	}
	return clock.Until(d.end), true
}

// DisableKeepAlives makes all further answers carry Connection: close, so that clients
// close their connections after them. It does not wait.
func (d *Drain) DisableKeepAlives() { d.keepAlivesDisabled.Store(true) }

// RefuseAndWait refuses all further requests and waits until none is in progress or
// ctx ends. end is when the process ends the requests in progress, zero if it waits for them. RefuseAndWait returns
// the number of requests still in progress. It must be called once.
func (d *Drain) RefuseAndWait(ctx context.Context, end time.Time) int64 {
	d.end = end
	d.beginRefusing()
	return d.waitIdle(ctx)
}

// CancelAndWait cancels the requests in progress with hookhall.ErrStopping, so that
// those whose answer has not begun are answered now: a request that still waits has not
// run, and its client can retry elsewhere. It waits until none is in progress or ctx ends,
// and returns the number of requests still in progress.
func (d *Drain) CancelAndWait(ctx context.Context) int64 {
	d.cancelAbort()
	return d.waitIdle(ctx)
}

// waitIdle waits until no request is in progress or ctx ends, and returns the number of
// requests still in progress.
func (d *Drain) waitIdle(ctx context.Context) int64 {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && d.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return d.inFlight.Load()
}
