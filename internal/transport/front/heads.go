// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// defaultMaxHeadBytes bounds the head of a request while no limit of the operators is known.
	defaultMaxHeadBytes = 64 << 10
	// readAheadBytes is how many bytes net/http may read of what follows a head.
	readAheadBytes = 4 << 10
	// refusedHeadWait is how long the rest of a refused head is read, so that the answer to it is not lost
	// to a reset, and maxRefusedBytes bounds those bytes.
	refusedHeadWait = 200 * time.Millisecond
	maxRefusedBytes = 256 << 10
)

// headTooLong is the answer to a request whose head exceeds the limit.
const headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connKey is the key of the *clientConn in the context of a connection.
type connKey struct{}

// ConnContext is a function for http.Server.ConnContext.
func (i *Intake) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// AfterHead returns a handler that ends the limit of a request's head, and then calls next.
func (i *Intake) AfterHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
			c.inHead.Store(false)
		}
		next.ServeHTTP(w, r)
	})
}

// beginHead begins the limit of the next request's head.
func (c *clientConn) beginHead() {
	limit := defaultMaxHeadBytes
	if c.intake.MaxHead != nil {
		if operators := c.intake.MaxHead(); operators > 0 {
			limit = operators
		}
	}
	c.headLeft.Store(int64(limit + readAheadBytes))
	c.inHead.Store(true)
}

// readBounded reads from the connection. Within a head that exceeds its limit it refuses the request and
// returns io.EOF.
func (c *clientConn) readBounded(b []byte) (int, error) {
	if !c.inHead.Load() {
		return c.TCPConn.Read(b)
	}
	left := c.headLeft.Load()
	if left <= 0 {
		c.refuseHead()
		return 0, io.EOF
	}
	n, err := c.TCPConn.Read(b[:min(int64(len(b)), left)])
	c.headLeft.Add(int64(-n))
	return n, err
}

// refuseHead answers a request whose head is too long and ends what this side sends.
func (c *clientConn) refuseHead() {
	if c.intake.OnHeadTooLong != nil {
		c.intake.OnHeadTooLong()
	}
	// These calls fail if the client has disconnected.
	_ = c.TCPConn.SetDeadline(connDeadline(refusedHeadWait))
	_, _ = io.WriteString(c.TCPConn, headTooLong)
	_ = c.TCPConn.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.TCPConn, maxRefusedBytes)
}
