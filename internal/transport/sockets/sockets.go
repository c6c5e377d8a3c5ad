// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package sockets opens TCP connections that detect an unresponsive peer quickly.
//
// # Model
//
// If the peer lost power, or a firewall dropped the connection's state, the
// connection receives nothing, not even a reset, while new connections work. By
// default the system detects this only after many minutes. Two socket options
// shorten that: TCP_USER_TIMEOUT closes a connection whose written bytes stay
// unacknowledged, and a connection that waits for an answer is probed. On Linux the
// first option also decides when probes give up, whatever their number.
//
// # Invariants
//
//   - A connection is closed once the peer has been silent for the time that its dialer
//     allows, and at most keepAliveInterval later; not before.
package sockets

import (
	"net"
	"syscall"
	"time"
)

const (
	// TargetSilence is how long a target may be silent: a sound one may be so for a second or
	// two, and a request that was sent to it may be lost if the connection is given up. Linux
	// sends unacknowledged bytes again after some 0.2, 0.6, 1.4 and 3 s, and none after this
	// time, so that the last of these is the first to arrive after 1.4 s of silence.
	TargetSilence = 3500 * time.Millisecond
	// ServiceSilence is how long peers and the platform's store may be silent. Their calls can be
	// repeated.
	ServiceSilence = 1500 * time.Millisecond
	// keepAliveInterval is the time until the first probe of a connection and between two. Linux
	// counts in whole seconds.
	keepAliveInterval = time.Second
	// optTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	optTCPUserTimeout = 18
)

// keepAlive detects an unresponsive peer while this side only waits for an answer. Count has no
// effect beside TCP_USER_TIMEOUT.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3}

// Dialer returns a dialer of connections whose peer may be silent for the given time. Opening a
// connection fails after connectTimeout.
func Dialer(connectTimeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the option, keep-alive probes and deadlines still end the connection.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(silence/time.Millisecond))
		})
	}}
}
