// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package sockets makes connections that don't stay open in silence.
//
// # Model
//
// A connection whose other end lost power, or that a firewall has forgotten, sends
// nothing, not even a reset, while new ones work. The system notices by itself
// only after many minutes. Two options shorten that: written bytes that nobody
// acknowledges break a connection after userTimeout, and one on which an answer is
// awaited is probed.
//
// # Invariants
//
//   - A connection on which bytes wait for an acknowledgement lives for userTimeout
//     at most.
package sockets

import (
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout is after how long unacknowledged bytes break a connection: some
	// hundred round trips between halls, and several repeats of a lost packet.
	userTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// probes find a peer out that has gone silent while an answer is awaited. Linux
// counts in whole seconds.
var probes = net.KeepAliveConfig{Enable: true, Idle: 500 * time.Millisecond, Interval: 400 * time.Millisecond, Count: 3}

// Dialer makes such connections; opening one may take limit.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAliveConfig: probes, Control: control}
}

func control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where it is not to be had, keep-alive probes and deadlines remain.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
}
