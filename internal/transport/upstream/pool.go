// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/answers"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/transport/sockets"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a connection attempt: about thirty round trips between halls.
	// A lost SYN is retransmitted only after a second, so that waiting longer gains
	// nothing.
	dialTimeout = 250 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 8
	// resetWatchDuration is how long new connections to a target are watched for a reset
	// after it has reset one: its connection slots are then all taken, and stay so for a
	// while.
	resetWatchDuration = 10 * time.Second
	// resetWaitMargin is the time a target may take to reset a new connection, in
	// addition to the time that connecting took; maxResetWait bounds the sum.
	resetWaitMargin = 2 * time.Millisecond
	maxResetWait    = 25 * time.Millisecond
	// maxSkippedAnswers bounds the answers that are read for one request, those to
	// earlier requests included, and maxInformational the informational ones (1xx) beside
	// them.
	maxSkippedAnswers = 4
	maxInformational  = 64
	// maxHeadBytes bounds the heads of the answers that are read for one request.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the bytes read of the body of one skipped answer.
	maxSkippedBytes = 1 << 20
	// unknownRelay stands for a relay that does not state its address.
	unknownRelay = "unknown"
)

// Pool holds the connections of one process to targets. Its methods may be called
// concurrently.
type Pool struct {
	// MaxIdle returns how many idle connections to an address this process may keep, up
	// to maxIdlePerAddress, because a target limits the connections of all processes
	// together. nil means no other limit. It must be set before the first request.
	MaxIdle func(address string) int
	// Dial opens a TCP connection; NewPool sets it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Paths opens the connections; nil opens all of them directly. It must be set before the
	// first request.
	Paths Paths
	// OnDial is called before a direct connection is opened, and the function that it returns with
	// the error after that. It may be nil, and must be set before the first request.
	OnDial func(address string) (done func(error))

	// OnNoAnswer is called when a target has sent bytes that can't be an answer. It may be nil, and
	// must be set before the first request.
	OnNoAnswer func()

	mu                 sync.Mutex
	idleByAddress      map[string][]*conn
	lastTakenByAddress map[string]time.Time // when a request last asked for a kept connection, by address
	lastResetByAddress map[string]time.Time // when the target last reset a new connection, by address
	// awaiting are the direct connections on which a request that may be sent again awaits its
	// answer, with the time at which it was sent.
	awaiting map[*conn]time.Time
	dials    atomic.Int64
}

// NewPool returns a Pool without connections.
func NewPool() *Pool {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return sockets.TargetDialer(dialTimeout).DialContext(ctx, "tcp", address)
	}
	return &Pool{Dial: dial, idleByAddress: map[string][]*conn{}, lastTakenByAddress: map[string]time.Time{}, lastResetByAddress: map[string]time.Time{}, awaiting: map[*conn]time.Time{}}
}

// Dials returns the number of connections attempted so far, failed ones included.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Request is a request to a target.
type Request struct {
	Address string // IP address and port
	Method  string
	URI     string // request target, as in the request line
	Host    string // value of the header field Host
	Header  http.Header
	Body    []byte
	// Matches reports whether an answer is the one to this request; nil accepts
	// any answer.
	Matches func(status int, h http.Header) bool
	// MatchesUnnamed reports the same of an answer that does not say whose it is. Its connection
	// carries no further request, so that a second copy of it can't be taken for another answer.
	// It may be nil.
	MatchesUnnamed func(status int, h http.Header) bool
	// AwaitsProof means that the connection carries a further request only if the caller has called
	// Response.Proven before it closes the body.
	AwaitsProof bool
	// NewConnection requires a new connection instead of a kept one. Only requests that must run
	// at most once need it.
	NewConnection bool
	// Urgency is the rank of the request, 0 for the most urgent.
	Urgency int
}

// Response is an answer whose head has been received.
type Response struct {
	Status  int
	Header  http.Header
	Framing hookhall.Framing
	// Length is the length of the body in bytes, or -1 if it is not announced.
	Length int64
	// Relay is the address of the peer through which the target was reached, "" for none.
	Relay string
	// Body must be closed. An answer that was cut ends with an error other than io.EOF.
	Body io.ReadCloser

	body *answerBody
	conn *conn
}

// IsFirst remembers a mark that an answer has and no other one should have, such as the handle of a result. It
// reports whether no recent answer of the connection had it: a copy comes on the connection of its
// original. It must not be called after the body was closed.
func (r *Response) IsFirst(mark string) bool { return r.conn.addMark(mark) }

// Proven states that the answer is the one to its request. It matters if that has AwaitsProof set, and
// must not be called after the body was closed.
func (r *Response) Proven() { r.body.isProven = true }

// takeIdle removes and returns a reusable idle connection to an address, or nil. It
// closes those that are not reusable.
func (p *Pool) takeIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTakenByAddress[address] = now
	conns := p.idleByAddress[address]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idleByAddress[address] = conns
		if c.reusable(now) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idleByAddress, address)
	return nil
}

// recentlyTaken reports whether a request asked for a kept connection to an address less
// than defaultIdleTimeout before now. If none did, an idle connection would occupy a slot at
// its target without use.
func (p *Pool) recentlyTaken(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastTakenByAddress[address]
	return ok && now.Sub(at) < defaultIdleTimeout
}

// putIdle keeps a connection for further requests, or closes it if enough are kept.
func (p *Pool) putIdle(c *conn, now time.Time) {
	c.idleSince = now
	limit := maxIdlePerAddress
	if p.MaxIdle != nil {
		limit = min(limit, p.MaxIdle(c.address))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleByAddress[c.address]) >= limit {
		_ = c.Close()
		return
	}
	p.idleByAddress[c.address] = append(p.idleByAddress[c.address], c)
}

// CloseIdle closes the idle connections to an address. It is called after a connection to
// it has failed, because the cause may affect the idle ones as well.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleByAddress[address] {
		_ = c.Close()
	}
	delete(p.idleByAddress, address)
}

// CloseAllIdle closes the idle connections to all addresses.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idleByAddress {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idleByAddress)
}

// AbandonSilent closes the direct connections on which a request that was sent before a time still
// awaits its answer, unless it must not be sent again. It returns how many it closed.
func (p *Pool) AbandonSilent(sentBefore time.Time) (closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, sentAt := range p.awaiting {
		if sentAt.Before(sentBefore) {
			_ = c.Close()
			closed++
		}
	}
	return closed
}

// beginAwaiting records that a request was sent on a connection and awaits its answer.
func (p *Pool) beginAwaiting(c *conn, r *Request) {
	if c.relay != "" || r.NewConnection {
		return
	}
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaiting[c] = now
}

// endAwaiting records that a connection got its answer or failed.
func (p *Pool) endAwaiting(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.awaiting, c)
}

// Sweep closes the idle connections that are not reusable at now, and drops the records of
// requests and resets that have expired. It must be called regularly.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idleByAddress {
		kept := conns[:0]
		for _, c := range conns {
			if c.reusable(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idleByAddress, address)
			continue
		}
		p.idleByAddress[address] = kept
	}
	maps.DeleteFunc(p.lastTakenByAddress, func(_ string, at time.Time) bool { return now.Sub(at) >= defaultIdleTimeout })
	maps.DeleteFunc(p.lastResetByAddress, func(_ string, at time.Time) bool { return now.Sub(at) >= resetWatchDuration })
}

// dial opens a connection and records how long that took.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.dials.Add(1)
	start := clock.Now()
	done := func(error) {}
	if p.OnDial != nil {
		done = p.OnDial(address)
	}
	c, err := p.Dial(ctx, address)
	done(err)
	if err != nil {
		return nil, err
	}
	opened := newConn(c, address)
	opened.dialDuration = clock.Since(start)
	return opened, nil
}

// open opens a new connection for a request.
func (p *Pool) open(ctx context.Context, address string, urgency int) (*conn, error) {
	if p.Paths == nil {
		return p.openDirect(ctx, address)
	}
	c, err := p.Paths.Connect(ctx, address, urgency, func(ctx context.Context) (net.Conn, error) {
		c, err := p.openDirect(ctx, address)
		if err != nil {
			return nil, err // not c, whose nil pointer would be a non-nil net.Conn
		}
		return c, nil
	})
	if err != nil {
		return nil, err
	}
	if direct, ok := c.(*conn); ok {
		return direct, nil
	}
	relayed := newConn(c, address)
	relayed.relay = unknownRelay
	if r, ok := c.(interface{ Relay() string }); ok {
		relayed.relay = r.Relay()
	}
	return relayed, nil
}

// openDirect opens a new connection from this process. If the target has recently reset one, it
// first waits for a reset: one that arrives before the request is written proves that nothing
// has run.
func (p *Pool) openDirect(ctx context.Context, address string) (*conn, error) {
	return p.dialAwaitingReset(ctx, address, p.recentlyReset(address, clock.Now()))
}

// dialAwaitingReset opens a connection, and then waits for a reset if awaitReset is set.
func (p *Pool) dialAwaitingReset(ctx context.Context, address string, awaitReset bool) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil || !awaitReset {
		return c, err
	}
	if err := c.awaitReset(min(c.dialDuration+resetWaitMargin, maxResetWait)); err != nil {
		_ = c.Close() // the target has closed it
		p.recordReset(address, clock.Now())
		return nil, errors.Wrap(err, "the target turned the connection away")
	}
	return c, nil
}

// recentlyReset reports whether a target has reset a new connection within
// resetWatchDuration.
func (p *Pool) recentlyReset(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastResetByAddress[address]
	return ok && now.Sub(at) < resetWatchDuration
}

// recordReset records that a target reset a new connection at now.
func (p *Pool) recordReset(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastResetByAddress[address] = now
}

// Refuses implements hookhall.Prober. It reports whether an address refuses a connection of this
// process, and one of a peer that reaches targets; one that opens is closed at once.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) && (p.Paths == nil || p.Paths.ConfirmsRefusal(ctx, address))
	}
	_ = c.Close() // only opening it mattered
	return false
}

// Do sends a request once and waits for the head of its answer. An error is a
// *hookhall.Error, whose verdict is NotRun only if not a byte was written.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	var c *conn
	if !r.NewConnection {
		c = p.takeIdle(r.Address, clock.Now())
	}
	if c == nil {
		var err error
		if c, err = p.open(ctx, r.Address, r.Urgency); err != nil {
			return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseConnection, "connect: %v", err)
		}
	}
	return p.exchange(ctx, c, r)
}

// exchange sends a request on a connection and waits for the head of its answer. A long
// body is written in a goroutine, because a target may answer before it has read the body.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request) (*Response, error) {
	c.bytesWritten.Store(0)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := &writeResult{done: make(chan struct{})}
	parseRequest := &http.Request{Method: r.Method}
	if len(r.Body) <= writeBufferSize {
		written.finish(writeRequest(c, &r))
	} else {
		go func() { written.finish(writeRequest(c, &r)) }()
	}
	p.beginAwaiting(c, &r)
	head, err := readHead(c, parseRequest, r.accepts())
	p.endAwaiting(c)
	if err != nil {
		stop()
		_ = c.Close()
		_ = written.wait()
		if isNoAnswer(err) && p.OnNoAnswer != nil {
			p.OnNoAnswer()
		}
		if c.idleSince.IsZero() && c.relay == "" && errors.Is(err, syscall.ECONNRESET) {
			p.recordReset(r.Address, clock.Now())
		}
		if !r.NewConnection && c.relay == "" && !errors.Is(ctx.Err(), context.Canceled) {
			p.CloseIdle(r.Address)
		}
		return nil, headError(ctx, c, p.markOwnPath(ctx, c, err))
	}
	if p.Paths != nil && c.relay == "" {
		p.Paths.Answered()
	}
	resp := &Response{Status: head.StatusCode, Header: head.Header, Framing: framingOf(head), Length: head.ContentLength, Relay: c.relay, conn: c}
	body := io.Reader(head.Body)
	if resp.Framing == hookhall.FramedByConnection {
		body = &unframedBody{Reader: body, written: written}
	}
	resp.body = &answerBody{Reader: body, awaitsProof: r.AwaitsProof, mark: func(err error) error { return p.markOwnPath(ctx, c, err) }, finish: func(complete bool) {
		active := stop()
		if c.relay != "" || !complete || !active || head.Close || !r.isNamed(head) || !written.succeeded() || c.reader.Buffered() > 0 || resp.Framing == hookhall.FramedByConnection {
			_ = c.Close()
			return
		}
		now := clock.Now()
		if r.NewConnection && !p.recentlyTaken(r.Address, now) {
			_ = c.Close()
			return
		}
		c.idleTimeout = readIdleTimeout(head.Header)
		p.putIdle(c, now)
	}}
	resp.Body = resp.body
	return resp, nil
}

// accepts returns the function that recognises the answer to r, nil if any is.
func (r *Request) accepts() func(status int, h http.Header) bool {
	if r.Matches == nil || r.MatchesUnnamed == nil {
		return r.Matches
	}
	return func(status int, h http.Header) bool { return r.Matches(status, h) || r.MatchesUnnamed(status, h) }
}

// isNamed reports whether an answer that was accepted says that it is the one to r.
func (r *Request) isNamed(head *http.Response) bool {
	return r.MatchesUnnamed == nil || r.Matches == nil || r.Matches(head.StatusCode, head.Header)
}

// framingOf returns how the end of an answer's body is marked. An answer whose status has no
// body has length 0.
func framingOf(r *http.Response) hookhall.Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return hookhall.FramedByChunks
	case r.ContentLength >= 0, r.StatusCode == http.StatusNoContent, r.StatusCode == http.StatusNotModified:
		return hookhall.FramedByLength
	}
	return hookhall.FramedByConnection
}

// writeRequest writes the head with the given fields except framingFields, and the body
// with its length.
func writeRequest(c *conn, r *Request) error {
	w := bufio.NewWriterSize(c, writeBufferSize)
	_, _ = w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.WriteSubset(w, framingFields); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// framingFields are the header fields that only this package may write.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// readHead skips answers to earlier requests and returns the one for which matches
// returns true; nil accepts any answer. The heads of all of them have at most maxHeadBytes.
func readHead(c *conn, request *http.Request, matches func(int, http.Header) bool) (*http.Response, error) {
	c.headLimit.left = maxHeadBytes
	defer func() { c.headLimit.left = unlimited }()
	for final, informational := 0, 0; final < maxSkippedAnswers && informational <= maxInformational; {
		if err := c.awaitStatusLine(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := answers.CheckHead(resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		resp.Body = answers.NewBody(resp)
		if resp.StatusCode < http.StatusOK {
			informational++
			continue
		}
		final++
		if matches == nil || matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		left := c.headLimit.left
		c.headLimit.left = unlimited
		skipped, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || skipped == maxSkippedBytes || resp.Close || framingOf(resp) == hookhall.FramedByConnection {
			break
		}
		c.headLimit.left = left
	}
	return nil, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseMisdirected, "the answer belongs to another request")
}

// headError returns the error of a request that failed before the head of its answer. The
// verdict is NotRun only if not a byte was written.
func headError(ctx context.Context, c *conn, err error) error {
	verdict := hookhall.MayHaveRun
	if c.bytesWritten.Load() == 0 {
		verdict = hookhall.NotRun
	}
	if e, ok := err.(*hookhall.Error); ok {
		return e
	}
	cause := hookhall.CauseConnection
	if ctx.Err() != nil {
		cause = hookhall.CauseCanceled
	}
	failure := hookhall.Errorf(verdict, cause, "no answer: %v", err)
	failure.OwnPath = errors.Is(err, hookhall.ErrOwnPath)
	return failure
}
