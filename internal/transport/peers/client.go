// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package peers carries the protocol between hookhall's own processes over
// gRPC.
//
// # Model
//
// Every call carries the protocol's version and the fleet's secret; a call
// without them is refused before its message is looked at. Messages are bounded
// by MaxMessage. Connections are kept per address and made on first use.
//
// # Invariants
//
//   - A call is sent once: gRPC's own retries are off.
//   - Refused calls are logged at a bounded rate.
package peers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/convert"
	pb "github.com/hookhall/hookhall/internal/protocol/peerpb"
	"github.com/hookhall/hookhall/internal/state/clock"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

const (
	// Version is the protocol's; peers of another one are refused.
	Version = "1"
	// MaxMessage bounds a message in bytes.
	MaxMessage = 16 << 20

	// idleTime without a call a connection is closed: an entry talks to few of
	// its peers all the time, and to any of them now and then.
	idleTime = 10 * time.Second

	keyVersion = "hookhall-version"
	keySecret  = "hookhall-secret"
)

// reconnect is quick: a peer that is back should be used at once.
var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
	MinConnectTimeout: 300 * time.Millisecond,
}

// Clients is a hookhall.Peers.
type Clients struct {
	secret string
	// bytes is what went over these connections, both ways.
	bytes  atomic.Int64
	mu     sync.Mutex
	byAddr map[string]*client
}

// NewClients makes a set of clients that share the fleet's secret.
func NewClients(secret string) *Clients {
	return &Clients{secret: secret, byAddr: map[string]*client{}}
}

// Peer implements hookhall.Peers. Connections of members that have left are
// closed by Keep.
func (c *Clients) Peer(address string) hookhall.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byAddr[address]
	if p == nil {
		p = c.dial(address)
		c.byAddr[address] = p
	}
	return p
}

// Keep closes the connections to addresses that are not in use any more.
func (c *Clients) Keep(inUse func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, p := range c.byAddr {
		if !inUse(a) {
			p.close()
			delete(c.byAddr, a)
		}
	}
}

// Close closes all connections.
func (c *Clients) Close() { c.Keep(func(string) bool { return false }) }

// Bytes is what went over these connections, both ways, without TCP and IP.
func (c *Clients) Bytes() int64 { return c.bytes.Load() }

// counted counts a connection's bytes.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *Clients) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return counted{conn, &c.bytes}, nil
}

func (c *Clients) dial(address string) *client {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(reconnect),
		grpc.WithContextDialer(c.connect),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleTime),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
		grpc.WithUnaryInterceptor(c.sign),
	)
	return &client{conn: conn, err: err, peer: pb.NewPeerClient(conn)}
}

func (c *Clients) sign(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx = metadata.AppendToOutgoingContext(ctx, keyVersion, Version, keySecret, c.secret)
	return invoke(ctx, method, req, reply, conn, opts...)
}

// client is a hookhall.Peer.
type client struct {
	conn *grpc.ClientConn
	err  error
	peer pb.PeerClient
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is left to be lost
	}
}

// Probe implements hookhall.Peer.
func (c *client) Probe(ctx context.Context, p hookhall.Probe) (hookhall.ProbeReply, error) {
	r, err := c.peer.Probe(ctx, &pb.ProbeRequest{From: p.From, Epoch: p.Epoch, TableVersion: p.TableVersion, View: p.View, Leaving: p.Leaving})
	if err != nil {
		return hookhall.ProbeReply{}, err
	}
	return hookhall.ProbeReply{ID: r.Id, Epoch: r.Epoch, TableVersion: r.TableVersion, View: r.View, Leaving: r.Leaving}, nil
}

// ProbeFor implements hookhall.Peer.
func (c *client) ProbeFor(ctx context.Context, address string) (bool, error) {
	r, err := c.peer.ProbeFor(ctx, &pb.ProbeForRequest{Address: address})
	return r.GetReached(), err
}

// Claim implements hookhall.Peer.
func (c *client) Claim(ctx context.Context, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	r, err := c.peer.Claim(ctx, &pb.ClaimRequest{Epoch: q.Epoch, Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token})
	if err != nil {
		return hookhall.ClaimReply{}, err
	}
	return convert.FromClaimReply(r, clock.Now()), nil
}

// Copy implements hookhall.Peer.
func (c *client) Copy(ctx context.Context, epoch uint64, n hookhall.Record) (hookhall.CopyReply, error) {
	r, err := c.peer.Copy(ctx, &pb.CopyRequest{Epoch: epoch, Record: convert.Record(n, clock.Now())})
	return hookhall.CopyReply{Stored: r.GetStored(), Epoch: r.GetEpoch()}, err
}

// Settle implements hookhall.Peer.
func (c *client) Settle(ctx context.Context, s hookhall.Settlement) (hookhall.CopyReply, error) {
	r, err := c.peer.Settle(ctx, &pb.SettleRequest{Epoch: s.Epoch, Key: s.Key, Token: s.Token, State: int32(s.State), Answer: s.Answer})
	return hookhall.CopyReply{Stored: r.GetDone(), Epoch: r.GetEpoch()}, err
}

// Fetch implements hookhall.Peer.
func (c *client) Fetch(ctx context.Context, f hookhall.FetchRequest) (hookhall.FetchReply, error) {
	r, err := c.peer.Fetch(ctx, &pb.FetchRequest{Epoch: f.Epoch, Slots: f.Slots, View: f.View})
	if err != nil {
		return hookhall.FetchReply{}, err
	}
	return convert.FromFetchReply(r, clock.Now()), nil
}

// Whole implements hookhall.Peer.
func (c *client) Whole(ctx context.Context, epoch uint64) (bool, error) {
	r, err := c.peer.Whole(ctx, &pb.WholeRequest{Epoch: epoch})
	return r.GetWhole(), err
}

// Take implements hookhall.Peer.
func (c *client) Take(ctx context.Context, t hookhall.TakeRequest) (hookhall.TakeReply, error) {
	r, err := c.peer.Take(ctx, convert.TakeRequest(t))
	if err != nil {
		return hookhall.TakeReply{}, err
	}
	return convert.FromTakeReply(r), nil
}

// Table implements hookhall.Peer.
func (c *client) Table(ctx context.Context, have uint64) (hookhall.TableDocument, error) {
	r, err := c.peer.Table(ctx, &pb.TableRequest{Have: have})
	return hookhall.TableDocument{Version: r.GetVersion(), Root: r.GetRoot(), Chunks: r.GetChunks()}, err
}
