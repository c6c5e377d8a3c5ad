// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// settingsFrame is an empty SETTINGS frame of HTTP/2, and headersFrame the beginning of a header block without an end
// on stream 1, of 0x4000 bytes.
const (
	settingsFrame = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	headersFrame  = "\x00\x40\x00\x01\x00\x00\x00\x00\x01"
	// continuationFrame goes on with it.
	continuationFrame = "\x00\x40\x00\x09\x00\x00\x00\x00\x01"
)

// TestPeerBytesWithoutEnd guards against a process at the address of a peer whose bytes are read until the memory is
// full.
func TestPeerBytesWithoutEnd(t *testing.T) {
	const maxRead, connections = 1 << 20, 20 // bytes of each connection, with those in the buffers of the system
	frame := strings.Repeat("x", 0x4000)
	for name, c := range map[string]struct{ begin, block string }{
		"no HTTP/2":        {"", frame},
		"one header block": {settingsFrame + headersFrame + frame, continuationFrame + frame},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, accepted atomic.Int64
			address := startTarget(t, func(conn *net.TCPConn) {
				accepted.Add(1)
				_ = conn.SetWriteBuffer(4 << 10)
				_, err := io.WriteString(conn, c.begin)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, c.block)
					sent.Add(int64(n))
				}
			})
			client := NewClients(log.New(io.Discard)).Client(address)
			for range connections {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				if err := client.Ping(ctx); err == nil {
					t.Error("a peer answered that sends no answer")
				}
				cancel()
			}
			if n := accepted.Load(); n == 0 || sent.Load() > n*maxRead {
				t.Errorf("%d bytes were read on %d connections", sent.Load(), n)
			}
		})
	}
}
