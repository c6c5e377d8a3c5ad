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
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection is trusted when the target
	// names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is taken off the time that a target names.
	idleTimeoutMargin = time.Second
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written counts bytes that were handed to the kernel for this request.
	bytesWritten atomic.Int64
	idleSince    time.Time // since when it rests, zero before its first request has ended
	idleTimeout  time.Duration
	dialDuration time.Duration // how long opening it took
}

func newConn(c net.Conn, address string) *conn {
	own := &conn{Conn: c, address: address, idleTimeout: defaultIdleTimeout}
	own.reader = bufio.NewReaderSize(c, readBufferSize)
	return own
}

// Write counts what was written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// fresh tells whether an idle connection may be used: the target keeps it, and
// neither bytes nor an end have come.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	return hasNoInput(c.Conn)
}

// past is a deadline that is over.
var pastDeadline = time.Unix(1, 0)

// prove waits for a sign that the target does not take a new connection.
func (c *conn) awaitReset(wait time.Duration) error {
	over := time.AfterFunc(wait, func() { _ = c.SetReadDeadline(pastDeadline) }) // a closed one needs none
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
func hasNoInput(c net.Conn) bool {
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

// readIdleTimeout reads how long the target keeps an idle connection.
func readIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// body is an answer's body; its end decides what becomes of the connection.
type answerBody struct {
	io.Reader
	finish func(whole bool)
	done   bool
}

// Read passes on what comes.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.finishOnce(err == io.EOF)
	}
	return n, err
}

// Close ends the answer; the connection of one that was not read to its end is
// closed.
func (b *answerBody) Close() error {
	b.finishOnce(false)
	return nil
}

func (b *answerBody) finishOnce(whole bool) {
	if !b.done {
		b.done = true
		b.finish(whole)
	}
}
