// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// keepDefault is how long an idle connection is trusted when the target
	// names no time.
	keepDefault = 4 * time.Second
	// keepMargin is taken off the time that a target names.
	keepMargin = time.Second
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written counts bytes that were handed to the kernel for this request.
	written atomic.Int64
	idle    time.Time // since when it rests, zero before its first request has ended
	keep    time.Duration
	opened  time.Duration // how long opening it took
}

func newConn(c net.Conn, address string) *conn {
	own := &conn{Conn: c, address: address, keep: keepDefault}
	own.reader = bufio.NewReaderSize(c, readBuffer)
	return own
}

// Write counts what was written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// fresh tells whether an idle connection may be used: the target keeps it, and
// neither bytes nor an end have come.
func (c *conn) fresh(now time.Time) bool {
	if now.Sub(c.idle) >= c.keep || c.reader.Buffered() > 0 {
		return false
	}
	return quiet(c.Conn)
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// prove waits for a sign that the target does not take a new connection.
func (c *conn) prove(wait time.Duration) error {
	over := time.AfterFunc(wait, func() { _ = c.SetReadDeadline(past) }) // a closed one needs none
	defer over.Stop()
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		return errors.New("bytes came before a request was sent")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.SetReadDeadline(time.Time{})
	}
	return err
}

// quiet looks at a socket without waiting.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

// keepAlive reads how long the target keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-keepMargin, 0)
		}
	}
	return keepDefault
}

// body is an answer's body; its end decides what becomes of the connection.
type body struct {
	io.Reader
	finish func(whole bool)
	done   bool
}

// Read passes on what comes.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close ends the answer; the connection of one that was not read to its end is
// closed.
func (b *body) Close() error {
	b.end(false)
	return nil
}

func (b *body) end(whole bool) {
	if !b.done {
		b.done = true
		b.finish(whole)
	}
}
