// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Connections counts the connections of clients. The zero value is ready for use, and it is safe
// for concurrent use.
type Connections struct {
	open, accepted atomic.Int64
}

// Open returns the number of open connections.
func (c *Connections) Open() int64 { return c.open.Load() }

// Accepted returns the number of all connections accepted so far.
func (c *Connections) Accepted() int64 { return c.accepted.Load() }

// StateChanged is a function for http.Server.ConnState.
func (c *Connections) StateChanged(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
		c.accepted.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}
