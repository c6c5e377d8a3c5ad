// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/standin"
	"google.golang.org/grpc"
)

// peerServer answers pings.
func peerServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	pb.RegisterFleetServer(s, &Server{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// pingSoon pings until the peer answers, and tells how long that took.
func pingSoon(t *testing.T, c *Client) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		err := c.Ping(ctx)
		cancel()
		if err == nil {
			return time.Since(began)
		}
	}
	t.Fatal("the peer is never reached")
	return 0
}

// TestSilentConnection: a connection to a peer that falls silent is replaced, with no
// reset from anywhere; one to a peer that is away is not.
func TestSilentConnection(t *testing.T) {
	w, err := standin.NewWire(peerServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	clients := NewClients(log.New(io.Discard))
	c := clients.Client(w.Address())
	pingSoon(t, c)
	t.Run("silent", func(t *testing.T) {
		for range 2 {
			w.Silence()
			if took := pingSoon(t, c); took > 3*time.Second {
				t.Errorf("reached again after %v", took)
			}
		}
		if n := w.Opened(); n > 4 {
			t.Errorf("%d connections were opened", n)
		}
	})
	t.Run("away", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		away := clients.Client(l.Addr().String())
		first := away.link.Load()
		away.check(first)
		if away.link.Load() != first {
			t.Error("the connection was replaced by one that is no better")
		}
	})
	t.Run("closed meanwhile", func(t *testing.T) {
		old := c.link.Load()
		clients.Keep(func(string) bool { return false })
		c.check(old)
		if c.link.Load() != old {
			t.Error("a client that is not used any more was connected again")
		}
	})
}

// stuckPeer begins each stage and never ends one.
type stuckPeer struct {
	pb.UnimplementedFleetServer
	begun chan struct{}
}

func (p stuckPeer) RunStage(_ *pb.StageRequest, stream pb.Fleet_RunStageServer) error {
	p.begun <- struct{}{}
	<-stream.Context().Done()
	return stream.Context().Err()
}

// TestClosedConnectionIsNoCanceledCall: a stage whose broker's connection is closed, since
// another one takes its place or the peer is gone, has a silent broker; its client has not
// gone.
func TestClosedConnectionIsNoCanceledCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := stuckPeer{begun: make(chan struct{}, 1)}
	s := grpc.NewServer()
	pb.RegisterFleetServer(s, peer)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	clients := NewClients(log.New(io.Discard))
	for name, c := range map[string]struct {
		end  func(cancel func())
		gone bool // the client
	}{
		"the connection is closed": {func(func()) { clients.Keep(func(string) bool { return false }) }, false},
		"the client has gone":      {func(cancel func()) { cancel() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			failed := make(chan error, 1)
			go func() {
				_, err := clients.Client(l.Addr().String()).Run(ctx, stages.Work{Service: "s", Pieces: 1, End: time.Now().Add(time.Minute)})
				failed <- err
			}()
			<-peer.begun
			c.end(cancel)
			err := <-failed
			var told *hookhall.Error
			if gone := errors.As(err, &told) && told.Cause == hookhall.CauseCanceled; gone != c.gone {
				t.Errorf("the call ended with %v", err)
			}
		})
	}
}
