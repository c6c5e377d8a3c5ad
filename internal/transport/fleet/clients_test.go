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

// startPingServer starts a gateway's server, which answers pings, and returns its address.
func startPingServer(t *testing.T) string {
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

// pingUntilAnswered pings until the peer answers, for 10 s at most, and returns how long
// that took.
func pingUntilAnswered(t *testing.T, c *Client) time.Duration {
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
	t.Fatal("the peer did not answer a ping within 10 s")
	return 0
}

// TestSilentConnectionIsReplaced guards against a peer that stays unreachable because its
// connection stops delivering data without a reset. Such a connection is replaced. One
// to a peer that does not answer on a new connection either, and one of a closed
// client, is kept.
func TestSilentConnectionIsReplaced(t *testing.T) {
	proxy, err := standin.NewStallingProxy(startPingServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	clients := NewClients(log.New(io.Discard))
	c := clients.Client(proxy.Address())
	pingUntilAnswered(t, c)
	t.Run("unresponsive connection", func(t *testing.T) {
		for range 2 {
			proxy.Stall()
			if took := pingUntilAnswered(t, c); took > 3*time.Second {
				t.Errorf("the peer answers again only after %v", took)
			}
		}
		if n := proxy.OpenedCount(); n > 4 {
			t.Errorf("%d connections were opened, want 4 at most", n)
		}
	})
	t.Run("unavailable peer", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		unavailable := clients.Client(l.Addr().String())
		first := unavailable.link.Load()
		unavailable.replaceIfSilent(first)
		if unavailable.link.Load() != first {
			t.Error("the connection to an unavailable peer was replaced")
		}
	})
	t.Run("closed client", func(t *testing.T) {
		old := c.link.Load()
		clients.CloseUnused(func(string) bool { return false })
		c.replaceIfSilent(old)
		if c.link.Load() != old {
			t.Error("a closed client got a new connection")
		}
	})
}

// stuckPeer begins each stage and never finishes one.
type stuckPeer struct {
	pb.UnimplementedFleetServer
	begun chan struct{}
}

func (p stuckPeer) RunStage(_ *pb.StageRequest, stream pb.Fleet_RunStageServer) error {
	p.begun <- struct{}{}
	<-stream.Context().Done()
	return stream.Context().Err()
}

// TestClosedConnectionIsNotCancellation guards against a stage that fails as cancelled by
// its client, and is not retried, when the connection to its broker is closed: because
// another connection replaced it or the peer has left. gRPC cancels the calls of a closed
// connection. The error must say that the broker was unreachable.
func TestClosedConnectionIsNotCancellation(t *testing.T) {
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
		gone bool // whether the client has gone
	}{
		"the connection is closed": {func(func()) { clients.CloseUnused(func(string) bool { return false }) }, false},
		"the client has gone":      {func(cancel func()) { cancel() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			failed := make(chan error, 1)
			go func() {
				_, err := clients.Client(l.Addr().String()).Run(ctx, stages.Work{Service: "s", PieceCount: 1, Deadline: time.Now().Add(time.Minute)})
				failed <- err
			}()
			<-peer.begun
			c.end(cancel)
			err := <-failed
			var cause *hookhall.Error
			if gone := errors.As(err, &cause) && cause.Cause == hookhall.CauseCanceled; gone != c.gone {
				t.Errorf("the call ended with %v, which has the wrong cause", err)
			}
		})
	}
}
