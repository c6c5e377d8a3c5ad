// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/transport/sockets"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	// idleTime without a call a connection is closed.
	idleTime = 20 * time.Second
	// connectTime bounds opening a connection.
	connectTime = 700 * time.Millisecond
	// checkTime is how long a peer may take to answer a ping while it is found out
	// whether its connection has fallen silent: some hundred round trips between halls.
	checkTime = 300 * time.Millisecond
	// checkPause is the least time between two such checks of one peer.
	checkPause = time.Second
)

var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 400 * time.Millisecond},
	MinConnectTimeout: 300 * time.Millisecond,
}

// Clients has the connections to peers.
type Clients struct {
	Log *log.Logger

	mu     sync.Mutex
	byAddr map[string]*Client
}

// NewClients makes an empty set.
func NewClients(l *log.Logger) *Clients { return &Clients{Log: l, byAddr: map[string]*Client{}} }

// Client finds the client of the peer at address.
func (c *Clients) Client(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byAddr[address]
	if p == nil {
		p = newClient(address, c.Log)
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

// Client is a stages.Remote and a placement.Remote.
//
// A connection may fall silent for good while new ones work. So when a call is not
// answered in time, the peer is pinged on the connection and then on a new one; if
// only the new one is answered, it takes the other's place.
type Client struct {
	address string
	log     *log.Logger
	err     error // the address was no address
	link    atomic.Pointer[link]

	mu      sync.Mutex
	checked time.Time // when the connection was last checked
	closed  bool
}

// link is one connection to a peer, opened on first use.
type link struct {
	conn *grpc.ClientConn
	rpc  pb.FleetClient
}

func newClient(address string, l *log.Logger) *Client {
	c := &Client{address: address, log: l}
	first, err := connect(address)
	c.err = err
	c.link.Store(first)
	return c
}

func connect(address string) (*link, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
		grpc.WithConnectParams(reconnect), grpc.WithIdleTimeout(idleTime), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			return sockets.Dialer(connectTime).DialContext(ctx, "tcp", a)
		}),
		grpc.WithDisableServiceConfig(), grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
	if err != nil {
		return nil, err
	}
	return &link{conn, pb.NewFleetClient(conn)}, nil
}

// rpc is the connection in use.
func (c *Client) rpc() pb.FleetClient { return c.link.Load().rpc }

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if l := c.link.Load(); l != nil {
		_ = l.conn.Close() // nothing is sent any more
	}
}

// note takes in how a short call ended. One without an answer has the connection
// checked.
func (c *Client) note(err error) {
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	now := clock.Now()
	c.mu.Lock()
	due := !c.closed && now.Sub(c.checked) >= checkPause
	if due {
		c.checked = now
	}
	c.mu.Unlock()
	if due {
		go c.check(c.link.Load())
	}
}

// check replaces a connection on which the peer does not answer, if it does on a new
// one. A peer that answers on neither is away, and keeps the old one.
func (c *Client) check(old *link) {
	if old.answers() {
		return
	}
	fresh, err := connect(c.address)
	if err != nil {
		return // it could be opened once; then the address is one
	}
	if !fresh.answers() || !c.replace(old, fresh) {
		_ = fresh.conn.Close()
		return
	}
	c.log.Warn("A connection to a peer fell silent; another one takes its place.", "peer", c.address)
	_ = old.conn.Close() // ends its calls, which would wait for nothing
}

func (c *Client) replace(old, fresh *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.link.CompareAndSwap(old, fresh)
}

// answers tells whether the peer answers a ping on this connection.
func (l *link) answers() bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	_, err := l.rpc.Ping(ctx, &pb.PingRequest{})
	return err == nil
}
