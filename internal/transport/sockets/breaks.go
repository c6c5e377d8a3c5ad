// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package sockets

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// RememberBreak returns c with a Read that does not return io.EOF after a Write has failed.
func RememberBreak(c net.Conn) net.Conn { return &breakConn{Conn: c} }

// breakConn is a connection that remembers the failure of a Write.
type breakConn struct {
	net.Conn // an interface: the ReadFrom of *net.TCPConn would bypass Write

	writing sync.Mutex // held during a Write
	failure error      // of the first Write that failed; guarded by writing
}

// Write implements net.Conn.
func (c *breakConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn. At the end of the peer's bytes it waits for a Write in progress, which may be the one
// to which a break was reported.
func (c *breakConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, errors.Wrap(c.failure, "the connection broke")
	}
	return n, io.EOF
}
