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
	p := &StallingProxy{listener: l, upstreamAddress: upstreamAddress}
	go p.acceptConnections()
	return p, nil
}

// Address returns the address that the proxy listens at.
func (p *StallingProxy) Address() string { return p.listener.Addr().String() }

// Stall stalls all connections that are open now.
func (p *StallingProxy) Stall() { p.generation.Add(1) }

// OpenedCount returns the number of connections accepted since the start, closed ones
// included.
func (p *StallingProxy) OpenedCount() int64 { return p.opened.Load() }

// Close stops accepting connections; those that are open stay.
func (p *StallingProxy) Close() { _ = p.listener.Close() }

func (p *StallingProxy) acceptConnections() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.opened.Add(1)
		upstream, err := net.Dial("tcp", p.upstreamAddress)
		if err != nil {
			_ = client.Close()
			continue
		}
		generation := p.generation.Load()
		go p.copyDirection(client, upstream, generation)
		go p.copyDirection(upstream, client, generation)
	}
}

// copyDirection copies one direction of a connection. Once the connection is stalled, bytes
// and the end of the stream are discarded.
func (p *StallingProxy) copyDirection(from, to net.Conn, generation int64) {
	buffer := make([]byte, 4096)
	for {
		length, err := from.Read(buffer)
		stalled := p.generation.Load() != generation
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
