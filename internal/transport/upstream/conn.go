// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hookhall/hookhall/internal/protocol/answers"
	"github.com/pkg/errors"
)

const (
	readBufferSize = 4 << 10 // bytes
	// writeBufferSize is in bytes. A body that fits is written before the answer is
	// read, a larger one while it is read.
	writeBufferSize = 4 << 10
	// defaultIdleTimeout is how long an idle connection may be reused if the target
	// announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that a target announces, so that
	// no request is sent while the target closes the connection.
	idleTimeoutMargin = time.Second
	// maxMarks bounds the answers of a connection that are remembered. A copy comes in the place of
	// the next answer.
	maxMarks = 32
)

// conn is one connection to a target. One request uses it at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// headLimit is between the socket and reader.
	headLimit *headLimit
	// bytesWritten counts the bytes of the current request passed to the kernel.
	bytesWritten atomic.Int64
	idleSince    time.Time     // start of the current idle time; zero before the end of the first request
	idleTimeout  time.Duration // how long it may be reused while idle
	dialDuration time.Duration // time taken to connect
	relay        string        // address of the peer that it passes through, "" for none; such a connection carries one request
	marks        []string      // of recent answers, the newest last; see Response.IsFirst
}

// newConn returns a conn over c.
func newConn(c net.Conn, address string) *conn {
	wrapped := &conn{Conn: c, address: address, idleTimeout: defaultIdleTimeout}
	wrapped.headLimit = &headLimit{Reader: c, left: unlimited}
	wrapped.reader = bufio.NewReaderSize(wrapped.headLimit, readBufferSize)
	return wrapped
}

// addMark remembers a mark of an answer, and reports whether it was not known.
func (c *conn) addMark(mark string) bool {
	if slices.Contains(c.marks, mark) {
		return false
	}
	if len(c.marks) >= maxMarks {
		c.marks = append(c.marks[:0], c.marks[1:]...)
	}
	c.marks = append(c.marks, mark)
	return true
}

// unlimited is the value of headLimit.left outside of heads.
const unlimited = -1

// errNoAnswer means that a target sent bytes that can't be an answer.
var errNoAnswer = errors.New("the target sent bytes that are no answer")

// isNoAnswer reports whether an error means that.
func isNoAnswer(err error) bool {
	return errors.Is(err, errNoAnswer) || errors.Is(err, answers.ErrInvalid)
}

// headLimit bounds the bytes read for the heads of the answers to one request.
type headLimit struct {
	io.Reader
	left int // bytes, or unlimited
}

// Read implements io.Reader. Beyond the limit it fails with errNoAnswer.
func (l *headLimit) Read(b []byte) (int, error) {
	if l.left == unlimited {
		return l.Reader.Read(b)
	}
	if l.left == 0 {
		return 0, errors.Wrap(errNoAnswer, "the head has no end")
	}
	n, err := l.Reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// statusLinePrefix is how the head of every answer begins.
const statusLinePrefix = "HTTP/1."

// awaitStatusLine waits for the beginning of an answer, and fails at the first byte that can't be
// part of one.
func (c *conn) awaitStatusLine() error {
	for n := 1; n <= len(statusLinePrefix); n++ {
		b, err := c.reader.Peek(n)
		if err != nil {
			return err
		}
		if b[n-1] != statusLinePrefix[n-1] {
			return errors.Wrapf(errNoAnswer, "it begins with %q", b)
		}
	}
	return nil
}

// Write implements net.Conn and counts the bytes written.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// reusable reports whether an idle connection may carry another request: its idle
// timeout has not passed, and neither bytes nor an end have been received.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	return hasNoInput(c.Conn)
}

// pastDeadline is a deadline that has passed; it interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// awaitReset waits up to timeout for a sign that the target rejects a new connection, and
// returns nil if there is none. Bytes received before a request are an error, too.
func (c *conn) awaitReset(timeout time.Duration) error {
	timer := time.AfterFunc(timeout, func() { _ = c.SetReadDeadline(pastDeadline) }) // fails on a closed connection, whose read ends anyway
	defer timer.Stop()
	_, err := c.reader.Peek(1)
	switch {
	case err == nil:
		return errors.New("bytes came before a request was sent")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.SetReadDeadline(time.Time{})
	}
	return err
}

// hasNoInput reports, without blocking, whether a socket is open and holds no unread bytes.
// It is true for connections without a system socket, as in tests.
func hasNoInput(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errno == syscall.EAGAIN || errno == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// maxIdleSeconds bounds the timeout that a target states: a day.
const maxIdleSeconds = 24 * 60 * 60

// readIdleTimeout returns how long a connection may be reused while idle: the timeout of
// the header field Keep-Alive less idleTimeoutMargin, or defaultIdleTimeout.
func readIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(min(seconds, maxIdleSeconds))*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// writeResult is the result of writing a request.
type writeResult struct {
	done chan struct{} // closed at the end
	err  error
}

// finish sets the result.
func (w *writeResult) finish(err error) {
	w.err = err
	close(w.done)
}

// wait waits until the request was written, or could not be, and returns the error.
func (w *writeResult) wait() error {
	<-w.done
	return w.err
}

// succeeded reports, without waiting, whether the request was written completely.
func (w *writeResult) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// unframedBody is the body of an answer that ends with its connection. If the request can't be written to its
// end, the connection broke, and the answer with it: the end may be that of the part that arrived before.
type unframedBody struct {
	io.Reader
	written *writeResult
}

// Read implements io.Reader. At the end of the body it waits until the request was written.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		if failure := b.written.wait(); failure != nil {
			return n, errors.Wrap(failure, "the connection ended before the request was written")
		}
	}
	return n, err
}

// answerBody is the body of an answer. When it ends, finish keeps or closes the connection; one that
// awaits proof does so when it is closed.
type answerBody struct {
	io.Reader
	mark        func(error) error // adds to an error of a read what is known of its cause
	finish      func(isFit bool)  // isFit: the body was read to its end, and proven if it awaits that
	awaitsProof bool
	isProven    bool
	isComplete  bool // the body was read to its end
	done        bool // finish was called
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF && !b.done {
		err = b.mark(err)
	}
	b.isComplete = err == io.EOF
	if err != nil && !(b.isComplete && b.awaitsProof) {
		b.finishOnce(b.isComplete)
	}
	return n, err
}

// Close implements io.Closer. If the body was not read to its end, or not proven although it awaits
// that, its connection is closed.
func (b *answerBody) Close() error {
	b.finishOnce(b.isComplete && b.isProven)
	return nil
}

// finishOnce calls finish unless it has been called.
func (b *answerBody) finishOnce(isFit bool) {
	if !b.done {
		b.done = true
		b.finish(isFit)
	}
}
