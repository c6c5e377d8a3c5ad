// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net"
	"sync/atomic"
)

// StallingProxy is a TCP proxy whose open connections can be stalled, as by a network that
// drops packets without a reset: they stay open, but neither bytes nor the end of the
// stream pass any more. Connections opened afterwards work. It is safe for concurrent use.
type StallingProxy struct {
	listener        net.Listener
	upstreamAddress string
	generation      atomic.Int64 // connections of an earlier generation are stalled
	opened          atomic.Int64
}

// NewStallingProxy starts a proxy on a free loopback port that forwards to
// upstreamAddress.
func NewStallingProxy(upstreamAddress string) (*StallingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &StallingProxy{listener: l, upstreamAddress: upstreamAddress}
	go w.acceptConnections()
	return w, nil
}

// Address returns the address that the proxy listens at.
func (w *StallingProxy) Address() string { return w.listener.Addr().String() }

// Stall stalls all connections that are open now.
func (w *StallingProxy) Stall() { w.generation.Add(1) }

// OpenedCount returns the number of connections accepted since the start.
func (w *StallingProxy) OpenedCount() int64 { return w.opened.Load() }

// Close stops accepting connections; those that are open stay.
func (w *StallingProxy) Close() { _ = w.listener.Close() }

func (w *StallingProxy) acceptConnections() {
	for {
		client, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.opened.Add(1)
		upstream, err := net.Dial("tcp", w.upstreamAddress)
		if err != nil {
			_ = client.Close()
			continue
		}
		generation := w.generation.Load()
		go w.copyDirection(client, upstream, generation)
		go w.copyDirection(upstream, client, generation)
	}
}

// copyDirection copies one direction of a connection. Bytes and ends on a stalled
// connection are discarded.
func (w *StallingProxy) copyDirection(from, to net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		length, err := from.Read(buffer)
		stalled := w.generation.Load() != generation
		if err != nil {
			if !stalled {
				_ = to.Close()
			}
			return
		}
		if !stalled {
			_, _ = to.Write(buffer[:length]) // a broken connection fails the next read
		}
	}
}
