// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package peers implements the protocol between hookhall's own processes over
// gRPC.
//
// # Model
//
// Every call carries the protocol version and the fleet's secret. The server
// refuses a call with other values before it processes the message. A message is
// at most MaxMessageBytes long. Clients keeps one connection per address and opens it
// on first use.
//
// # Invariants
//
//   - A call is sent at most once: gRPC's own retries are disabled.
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
	// ProtocolVersion is the version that each call carries. The server refuses calls
	// of another version.
	ProtocolVersion = "1"
	// MaxMessageBytes is the largest size of a message in bytes.
	MaxMessageBytes = 16 << 20

	// maxHeadBytes bounds the header list of an answer.
	maxHeadBytes = 64 << 10
	// idleTimeout is how long a connection stays open without a call. An entry calls
	// few of its peers continuously and the others occasionally, so that most
	// connections would be idle.
	idleTimeout = 10 * time.Second

	versionMetadataKey = "hookhall-version"
	secretMetadataKey  = "hookhall-secret"
)

// reconnectParams has short delays, so that a peer is used soon after it returns.
var reconnectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
	MinConnectTimeout: 300 * time.Millisecond,
}

// Clients implements hookhall.Peers with one connection per address. It is safe for
// concurrent use.
type Clients struct {
	secret string
	// bytes counts the bytes sent and received over all connections.
	bytes     atomic.Int64
	mu        sync.Mutex
	byAddress map[string]*client
}

// NewClients returns Clients without connections that authenticate with the fleet's
// secret.
func NewClients(secret string) *Clients {
	return &Clients{secret: secret, byAddress: map[string]*client{}}
}

// Peer implements hookhall.Peers. It returns the client of address, which can be used until
// CloseUnused or Close closes it.
func (c *Clients) Peer(address string) hookhall.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byAddress[address]
	if p == nil {
		p = c.dial(address)
		c.byAddress[address] = p
	}
	return p
}

// CloseUnused closes the connections to all addresses for which inUse returns false.
func (c *Clients) CloseUnused(inUse func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, p := range c.byAddress {
		if !inUse(a) {
			p.close()
			delete(c.byAddress, a)
		}
	}
}

// Close closes all connections.
func (c *Clients) Close() { c.CloseUnused(func(string) bool { return false }) }

// BytesTransferred returns the number of bytes sent and received over all connections
// since NewClients, without TCP and IP headers.
func (c *Clients) BytesTransferred() int64 { return c.bytes.Load() }

// countingConn adds the bytes read and written on a connection to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// connect opens a connection whose bytes are counted.
func (c *Clients) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &c.bytes}, nil
}

// dial returns a client that connects to address on its first call.
func (c *Clients) dial(address string) *client {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(reconnectParams),
		grpc.WithContextDialer(c.connect),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithMaxHeaderListSize(maxHeadBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithUnaryInterceptor(c.addCredentials),
	)
	if err != nil {
		return &client{rpc: pb.NewPeerClient(failedConn{err})}
	}
	return &client{conn: conn, rpc: pb.NewPeerClient(conn)}
}

// failedConn fails all calls with the error of a connection that can't be made.
type failedConn struct{ err error }

// Invoke implements grpc.ClientConnInterface.
func (c failedConn) Invoke(context.Context, string, any, any, ...grpc.CallOption) error { return c.err }

// NewStream implements grpc.ClientConnInterface.
func (c failedConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, c.err
}

// addCredentials is the interceptor that adds the protocol version and the secret to
// each call.
func (c *Clients) addCredentials(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx = metadata.AppendToOutgoingContext(ctx, versionMetadataKey, ProtocolVersion, secretMetadataKey, c.secret)
	return invoke(ctx, method, req, reply, conn, opts...)
}

// client implements hookhall.Peer.
type client struct {
	conn *grpc.ClientConn // nil if the address is invalid
	rpc  pb.PeerClient
}

// close closes the connection, if there is one.
func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // fails only if it is already closed
	}
}

// Probe implements hookhall.Peer.
func (c *client) Probe(ctx context.Context, p hookhall.Probe) (hookhall.ProbeReply, error) {
	r, err := c.rpc.Probe(ctx, &pb.ProbeRequest{From: p.From, Epoch: p.Epoch, TableVersion: p.TableVersion, View: p.View, Leaving: p.LeavingTargets})
	if err != nil {
		return hookhall.ProbeReply{}, err
	}
	return hookhall.ProbeReply{ID: r.Id, Epoch: r.Epoch, TableVersion: r.TableVersion, View: r.View, LeavingTargets: r.Leaving}, nil
}

// ProbeFor implements hookhall.Peer.
func (c *client) ProbeFor(ctx context.Context, address string) (bool, error) {
	r, err := c.rpc.ProbeFor(ctx, &pb.ProbeForRequest{Address: address})
	return r.GetReached(), err
}

// Claim implements hookhall.Peer.
func (c *client) Claim(ctx context.Context, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	r, err := c.rpc.Claim(ctx, &pb.ClaimRequest{Epoch: q.Epoch, Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token})
	if err != nil {
		return hookhall.ClaimReply{}, err
	}
	return convert.FromClaimReply(r, clock.Now()), nil
}

// Copy implements hookhall.Peer.
func (c *client) Copy(ctx context.Context, epoch uint64, record hookhall.Record) (hookhall.CopyReply, error) {
	r, err := c.rpc.Copy(ctx, &pb.CopyRequest{Epoch: epoch, Record: convert.Record(record, clock.Now())})
	return hookhall.CopyReply{Stored: r.GetStored(), Epoch: r.GetEpoch()}, err
}

// Settle implements hookhall.Peer.
func (c *client) Settle(ctx context.Context, s hookhall.Settlement) (hookhall.CopyReply, error) {
	r, err := c.rpc.Settle(ctx, &pb.SettleRequest{Epoch: s.Epoch, Key: s.Key, Token: s.Token, State: int32(s.State), Answer: s.Answer})
	return hookhall.CopyReply{Stored: r.GetDone(), Epoch: r.GetEpoch()}, err
}

// Fetch implements hookhall.Peer.
func (c *client) Fetch(ctx context.Context, f hookhall.FetchRequest) (hookhall.FetchReply, error) {
	r, err := c.rpc.Fetch(ctx, &pb.FetchRequest{Epoch: f.Epoch, Slots: f.Slots, View: f.View})
	if err != nil {
		return hookhall.FetchReply{}, err
	}
	return convert.FromFetchReply(r, clock.Now()), nil
}

// IsComplete implements hookhall.Peer.
func (c *client) IsComplete(ctx context.Context, epoch uint64) (bool, error) {
	r, err := c.rpc.Whole(ctx, &pb.WholeRequest{Epoch: epoch})
	return r.GetWhole(), err
}

// LeaseShares implements hookhall.Peer.
func (c *client) LeaseShares(ctx context.Context, q hookhall.ShareRequest) (hookhall.ShareReply, error) {
	r, err := c.rpc.Take(ctx, convert.TakeRequest(q))
	if err != nil {
		return hookhall.ShareReply{}, err
	}
	return convert.FromTakeReply(r), nil
}

// Table implements hookhall.Peer. It reads the peer's table, of which the caller has the
// version have.
func (c *client) Table(ctx context.Context, have uint64) (hookhall.TableDocument, error) {
	r, err := c.rpc.Table(ctx, &pb.TableRequest{Have: have})
	return hookhall.TableDocument{Version: r.GetVersion(), Root: r.GetRoot(), Chunks: r.GetChunks()}, err
}
