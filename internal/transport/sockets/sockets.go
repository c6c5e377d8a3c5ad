// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package sockets opens TCP connections that detect an unresponsive peer quickly.
//
// # Model
//
// If the peer lost power, or a firewall dropped the connection's state, the
// connection receives nothing, not even a reset, while new connections work. By
// default the system detects this only after many minutes. Two socket options
// shorten that: a connection with written but unacknowledged bytes is closed after
// userTimeout, and an idle connection, such as one that waits for an answer, is
// probed.
//
// # Invariants
//
//   - A connection with unacknowledged bytes is closed after userTimeout at the
//     latest.
package sockets

import (
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is how long written bytes may stay unacknowledged before the
	// connection is closed. It allows some hundred round trips between halls and
	// several retransmissions of a lost packet.
	userTimeout = 1500 * time.Millisecond
	// optTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	optTCPUserTimeout = 18
)

// keepAlive detects an unresponsive peer while this side only waits for an answer.
// The durations are rounded up to whole seconds, the unit of Linux.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 500 * time.Millisecond, Interval: 400 * time.Millisecond, Count: 3}

// Dialer returns a dialer for such connections. Opening a connection fails after
// connectTimeout.
func Dialer(connectTimeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// setUserTimeout sets the socket option that closes a connection after userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option, keep-alive probes and deadlines still end the connection.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(userTimeout/time.Millisecond))
	})
}
