// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net"
	"sync/atomic"
)

// Wire is a proxy whose open connections can fall silent: they stay open, and no byte
// passes any more, nor any end. New ones work.
type Wire struct {
	listener net.Listener
	to       string
	era      atomic.Int64 // connections of earlier eras are silent
	opened   atomic.Int64
}

// NewWire makes a proxy to an address.
func NewWire(to string) (*Wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Wire{listener: l, to: to}
	go w.accept()
	return w, nil
}

// Address is where it listens.
func (w *Wire) Address() string { return w.listener.Addr().String() }

// Silence has all open connections fall silent.
func (w *Wire) Silence() { w.era.Add(1) }

// Opened is how many connections were opened.
func (w *Wire) Opened() int64 { return w.opened.Load() }

// Close takes no more connections.
func (w *Wire) Close() { _ = w.listener.Close() }

func (w *Wire) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.opened.Add(1)
		s, err := net.Dial("tcp", w.to)
		if err != nil {
			_ = c.Close()
			continue
		}
		era := w.era.Load()
		go w.pass(c, s, era)
		go w.pass(s, c, era)
	}
}

// pass copies one direction. What a silent connection sends is swallowed.
func (w *Wire) pass(from, to net.Conn, era int64) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		silent := w.era.Load() != era
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
		if !silent {
			_, _ = to.Write(b[:n]) // the next read shows a broken connection
		}
	}
}
