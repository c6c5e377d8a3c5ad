// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package httpclient

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// requestConn is a connection that knows whether its last request was written. net/http closes a connection
// once a read has returned io.EOF, so that a later check would find any request in progress cut. The last bytes of
// a request may be written after it counts as written; sockets.RememberBreak is for these.
type requestConn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	written chan struct{} // closed once the request with a body was written or failed; nil before the first one
	err     error
}

// newRequestConn returns a requestConn over c.
func newRequestConn(c net.Conn) *requestConn {
	return &requestConn{Conn: c, closed: make(chan struct{})}
}

// Close implements net.Conn.
func (c *requestConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// beginRequest records that a request with a body is about to be written.
func (c *requestConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written, c.err = make(chan struct{}), nil
}

// endRequest records that the request was written, or could not be.
func (c *requestConn) endRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	close(c.written)
}

// Read implements net.Conn. At the end of the peer's bytes it waits until the request was written.
func (c *requestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if failure := c.awaitRequest(); failure != nil {
			return n, errors.Wrap(failure, "the connection ended before the request was written")
		}
	}
	return n, err
}

// awaitRequest waits until the request was written, or could not be, and returns the error. net/http does not
// write a request whose connection was closed before.
func (c *requestConn) awaitRequest() error {
	c.mu.Lock()
	written := c.written
	c.mu.Unlock()
	if written == nil {
		return nil
	}
	select {
	case <-written:
	case <-c.closed:
		return net.ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
