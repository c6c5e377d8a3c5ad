// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// soundSilence is how long a sound target may send nothing, not even acknowledgements.
	soundSilence = 1800 * time.Millisecond
	// deadNoticed is how soon a target that stays silent has to be noticed: by the first probe
	// after the silence that is allowed.
	deadNoticed = TargetSilence + keepAliveInterval
)

// silentPeer is the other end of a connection, whose kernel drops all that arrives while it is
// silent.
type silentPeer struct {
	t    *testing.T
	conn *net.TCPConn
}

// newConnection opens a connection to a peer that answers each byte with another one.
func newConnection(t *testing.T) (net.Conn, *silentPeer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dialer(time.Second, TargetSilence).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = accepted.Close() })
	return c, &silentPeer{t, accepted.(*net.TCPConn)}
}

// setSilent makes the peer silent, or ends that.
func (p *silentPeer) setSilent(silent bool) {
	p.t.Helper()
	raw, err := p.conn.SyscallConn()
	if err != nil {
		p.t.Fatal(err)
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		if silent {
			dropAll := []syscall.SockFilter{{Code: syscall.BPF_RET | syscall.BPF_K, K: 0}}
			//lint:ignore SA1019 the alternative is a module of its own for one instruction
			failure = syscall.AttachLsf(int(fd), dropAll)
		} else {
			//lint:ignore SA1019 as above
			failure = syscall.DetachLsf(int(fd))
		}
	})
	if err != nil || failure != nil {
		p.t.Fatal(err, failure)
	}
}

// answer reads a byte and answers it.
func (p *silentPeer) answer() {
	b := make([]byte, 1)
	if _, err := io.ReadFull(p.conn, b); err == nil {
		_, _ = p.conn.Write(b)
	}
}

// readWithin reads a byte and returns how long that took.
func readWithin(c net.Conn, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(limit))
	_, err := c.Read(make([]byte, 1))
	return time.Since(start), err
}

// TestSilentForASecond guards against requests that are lost at a sound target, because the connection
// is given up while the target is silent for a second or two.
func TestSilentForASecond(t *testing.T) {
	for name, writeFirst := range map[string]bool{"while it waits for the request": false, "while the answer is awaited": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, peer := newConnection(t)
			if writeFirst {
				_, _ = c.Write([]byte("x"))
				b := make([]byte, 1)
				if _, err := io.ReadFull(peer.conn, b); err != nil {
					t.Fatal(err)
				}
			}
			peer.setSilent(true)
			if !writeFirst {
				_, _ = c.Write([]byte("x"))
			}
			time.AfterFunc(soundSilence, func() {
				peer.setSilent(false)
				if writeFirst {
					time.Sleep(2 * time.Second) // the request takes longer than the silence
					_, _ = peer.conn.Write([]byte("x"))
				} else {
					peer.answer()
				}
			})
			if took, err := readWithin(c, 10*time.Second); err != nil {
				t.Errorf("after %v: %v", took, err)
			}
		})
	}
}

// TestDeadTargetIsNoticed guards against requests that wait until their deadlines for a target whose
// host was lost and sends no reset.
func TestDeadTargetIsNoticed(t *testing.T) {
	for name, writeFirst := range map[string]bool{"before the request arrives": false, "while the answer is awaited": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, peer := newConnection(t)
			if writeFirst {
				_, _ = c.Write([]byte("x"))
				time.Sleep(50 * time.Millisecond)
			}
			peer.setSilent(true)
			if !writeFirst {
				_, _ = c.Write([]byte("x"))
			}
			took, err := readWithin(c, 20*time.Second)
			if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || took > deadNoticed {
				t.Errorf("after %v: %v", took, err)
			}
		})
	}
}
