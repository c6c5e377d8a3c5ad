// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/transport/sockets"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a new connection: some thirty round trips between halls. A
	// packet that opens one and is dropped is sent anew only after a second, so that
	// longer waits bring nothing.
	dialTimeout = 250 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 8
	// resetWatchDuration is for how long new connections to a target are proved that reset one
	// before it answered: its places are taken, and will be for a while.
	resetWatchDuration = 10 * time.Second
	// resetWaitMargin is what a target may take to turn a new connection away, beside the
	// way there and back; maxResetWait bounds both.
	resetWaitMargin = 2 * time.Millisecond
	maxResetWait    = 25 * time.Millisecond
	// maxSkippedAnswers bounds the answers of earlier requests that are skipped.
	maxSkippedAnswers = 4
	// maxSkippedBytes bounds what is read of a dropped answer.
	maxSkippedBytes = 1 << 20
)

// Pool has the connections of one process.
type Pool struct {
	// Resting is how many idle connections to an address may be kept, beside maxIdlePerAddress:
	// targets bear so many from all processes together. nil means any number. Set
	// before the first request.
	Resting func(address string) int

	mu                 sync.Mutex
	idleByAddress      map[string][]*conn
	lastTakenByAddress map[string]time.Time // when a kept connection was last asked for, by address
	lastResetByAddress map[string]time.Time // when a new connection was last reset, by address
	dials              atomic.Int64
}

// NewPool makes an empty Pool.
func NewPool() *Pool {
	return &Pool{idleByAddress: map[string][]*conn{}, lastTakenByAddress: map[string]time.Time{}, lastResetByAddress: map[string]time.Time{}}
}

// Dials is how many connections were opened.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Request is what is written to a target.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Belongs tells whether an answer is the one to this request; nil accepts
	// any.
	Belongs func(status int, h http.Header) bool
	// Fresh asks for a new connection.
	Fresh bool
}

// Response is an answer whose head has come.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's, -1 when it is not announced.
	Length int64
	Body   io.ReadCloser
}

func (p *Pool) takeIdle(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTakenByAddress[address] = now
	list := p.idleByAddress[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idleByAddress[address] = list
		if c.reusable(now) {
			return c
		}
		_ = c.Close()
	}
	delete(p.idleByAddress, address)
	return nil
}

// wanted tells whether a kept connection to an address was asked for lately. One that
// nobody asks for takes a place at its target for nothing.
func (p *Pool) recentlyTaken(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastTakenByAddress[address]
	return ok && now.Sub(at) < defaultIdleTimeout
}

func (p *Pool) putIdle(c *conn, now time.Time) {
	c.idleSince = now
	most := maxIdlePerAddress
	if p.Resting != nil {
		most = min(most, p.Resting(c.address))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleByAddress[c.address]) >= most {
		_ = c.Close()
		return
	}
	p.idleByAddress[c.address] = append(p.idleByAddress[c.address], c)
}

// Forget closes the idle connections to an address: one that was kept has failed, and
// what broke it may have broken all that are as old.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleByAddress[address] {
		_ = c.Close()
	}
	delete(p.idleByAddress, address)
}

// Sweep closes idle connections that are past their time.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idleByAddress {
		kept := list[:0]
		for _, c := range list {
			if c.reusable(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idleByAddress, a)
			continue
		}
		p.idleByAddress[a] = kept
	}
	maps.DeleteFunc(p.lastTakenByAddress, func(_ string, at time.Time) bool { return now.Sub(at) >= defaultIdleTimeout })
	maps.DeleteFunc(p.lastResetByAddress, func(_ string, at time.Time) bool { return now.Sub(at) >= resetWatchDuration })
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.dials.Add(1)
	began := clock.Now()
	c, err := sockets.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	own := newConn(c, address)
	own.dialDuration = clock.Since(began)
	return own, nil
}

// open makes a new connection. One to a target that has turned others away is proved:
// a reset that comes before the request is written shows that nothing has run.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil || !p.recentlyReset(address, clock.Now()) {
		return c, err
	}
	if err := c.awaitReset(min(c.dialDuration+resetWaitMargin, maxResetWait)); err != nil {
		_ = c.Close() // the target has closed it
		p.recordReset(address, clock.Now())
		return nil, errors.Wrap(err, "the target turned the connection away")
	}
	return c, nil
}

func (p *Pool) recentlyReset(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lastResetByAddress[address]
	return ok && now.Sub(at) < resetWatchDuration
}

// recordReset takes in that a target reset a new connection.
func (p *Pool) recordReset(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastResetByAddress[address] = now
}

// Refuses implements hookhall.Prober. A connection that opens is closed again.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // it served its purpose
	return false
}

// Do sends a request once and waits for the head of its answer.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	var c *conn
	if !r.Fresh {
		c = p.takeIdle(r.Address, clock.Now())
	}
	if c == nil {
		var err error
		if c, err = p.open(ctx, r.Address); err != nil {
			return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseConnection, "connect: %v", err)
		}
	}
	return p.exchange(ctx, c, r)
}

// exchange writes the request while the answer is awaited: a target may answer
// before it has read a long body.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request) (*Response, error) {
	c.bytesWritten.Store(0)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	wrote := make(chan error, 1)
	req := &http.Request{Method: r.Method}
	if len(r.Body) <= writeBufferSize {
		wrote <- writeRequest(c, &r)
	} else {
		go func() { wrote <- writeRequest(c, &r) }()
	}
	head, err := readHead(c, req, r.Belongs)
	if err != nil {
		stop()
		_ = c.Close()
		<-wrote
		if c.idleSince.IsZero() && errors.Is(err, syscall.ECONNRESET) {
			p.recordReset(r.Address, clock.Now())
		}
		if !r.Fresh && !errors.Is(ctx.Err(), context.Canceled) {
			p.Forget(r.Address)
		}
		return nil, headError(ctx, c, err)
	}
	resp := &Response{Status: head.StatusCode, Header: head.Header, Length: head.ContentLength}
	resp.Body = &answerBody{Reader: head.Body, finish: func(whole bool) {
		live := stop()
		if !whole || !live || head.Close || !requestWritten(wrote) || c.reader.Buffered() > 0 || !selfDelimited(head) {
			_ = c.Close()
			return
		}
		now := clock.Now()
		if r.Fresh && !p.recentlyTaken(r.Address, now) {
			_ = c.Close()
			return
		}
		c.idleTimeout = readIdleTimeout(head.Header)
		p.putIdle(c, now)
	}}
	return resp, nil
}

// framed tells whether the answer's end is known without the connection's.
func selfDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified
}

// written tells whether the whole request has been written by now.
func requestWritten(wrote chan error) bool {
	select {
	case err := <-wrote:
		return err == nil
	default:
		return false
	}
}

// writeRequest writes the head as it is given, and the body with its length.
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

// framing has the fields that only this package writes.
var framingFields = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Connection": true}

// readHead reads answers until the one that belongs to the request.
func readHead(c *conn, req *http.Request, belongs func(int, http.Header) bool) (*http.Response, error) {
	for range maxSkippedAnswers {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if belongs == nil || belongs(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close || !selfDelimited(resp) {
			break
		}
	}
	return nil, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseMisdirected, "the answer belongs to another request")
}

// failure tells what an error before the head says of the request.
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
	return hookhall.Errorf(verdict, cause, "no answer: %v", err)
}
