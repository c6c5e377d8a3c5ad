// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package sockets opens TCP connections that detect an unresponsive peer quickly and hold few unread
// bytes.
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
// Linux reports a break, such as a reset, to one call only. If that is a write, the next
// read returns 0 bytes, as it does once the peer has ended its side in order. RememberBreak
// makes a connection report it to both.
//
// The system reads ahead of the process. A connection whose receive buffer it sizes itself may hold
// megabytes of an answer that the process passes on slowly, and the platform counts them as the
// process's memory.
//
// # Invariants
//
//   - A connection of TargetDialer or Listen holds at most 2 * ReceiveBuffer bytes unread.
//   - A connection is closed once the peer has been silent for the time that its dialer
//     allows, and at most keepAliveInterval later; not before.
//   - A Read of a connection with RememberBreak returns io.EOF only if the peer has ended its
//     side and no Write has failed.
package sockets

import (
	"context"
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
	// ReceiveBuffer is the receive buffer of a connection to a target or of a client, in bytes. Linux
	// allots twice as many. A connection to a target 2 ms away can then receive 250 Mbit/s.
	ReceiveBuffer = 64 << 10
	// optTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	optTCPUserTimeout = 18
)

// keepAlive detects an unresponsive peer while this side only waits for an answer. Count has no
// effect beside TCP_USER_TIMEOUT.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3}

// TargetDialer returns a dialer of connections to targets. Opening a connection fails after
// connectTimeout.
func TargetDialer(connectTimeout time.Duration) *net.Dialer {
	dialer := Dialer(connectTimeout, TargetSilence)
	limitSilence := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		if err := limitSilence(network, address, raw); err != nil {
			return err
		}
		return limitUnread(network, address, raw)
	}
	return dialer
}

// Listen listens on a TCP address given as IP address and port.
func Listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: limitUnread} // connections inherit the options of the socket
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// limitUnread sets the receive buffer of a socket. It must be called before the socket is connected, which
// announces the size to the peer.
func limitUnread(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option, the system sizes the buffer itself.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBuffer)
	})
}

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
