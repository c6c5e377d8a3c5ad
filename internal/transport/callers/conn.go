// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package callers

import (
	"net/http"
	"time"
)

// callerConn is the connection of a request, which replaces the server's own bounds. Its methods do nothing on
// a connection without deadlines.
type callerConn struct{ *http.ResponseController }

// bound ends reads and writes at a time.
func (c callerConn) bound(at time.Time) {
	_ = c.SetReadDeadline(at)
	_ = c.SetWriteDeadline(at)
}

// boundAnswer ends writes at a time. Reads go on without a bound: they show that the caller has left.
func (c callerConn) boundAnswer(at time.Time) {
	_ = c.SetReadDeadline(time.Time{})
	_ = c.SetWriteDeadline(at)
}
