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
	"github.com/hookhall/hookhall"
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
	// idleTimeout is how long a connection stays open without a call.
	idleTimeout = 20 * time.Second
	// connectTimeout bounds opening a connection.
	connectTimeout = 700 * time.Millisecond
	// checkTimeout is how long a peer may take to answer a ping while a connection is
	// checked. It allows some hundred round trips between halls.
	checkTimeout = 300 * time.Millisecond
	// minCheckInterval is the minimum time between two checks of a peer's connection.
	minCheckInterval = time.Second
	// maxHeadBytes bounds the header list of an answer.
	maxHeadBytes = 64 << 10
)

// reconnectParams has short delays, so that a peer is used soon after it returns.
var reconnectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 400 * time.Millisecond},
	MinConnectTimeout: 300 * time.Millisecond,
}

// Clients keeps one Client per address of a peer. It is safe for concurrent use.
type Clients struct {
	// Log receives the warnings and errors of clients.
	Log *log.Logger
	// ObserveLoads is called with the loads of pools that the broker at an address reports.
	// It must not block, and may be nil.
	ObserveLoads func(broker string, loads []hookhall.PoolLoad)
	// OnPing is called before a ping of a peer, and the function that it returns with the error
	// after that. It may be nil, and must be set before the first call.
	OnPing func(address string) (done func(error))

	instances instances

	mu        sync.Mutex
	byAddress map[string]*Client
}

// NewClients returns Clients without connections.
func NewClients(l *log.Logger) *Clients { return &Clients{Log: l, byAddress: map[string]*Client{}} }

// Client returns the client of the peer at address. Its connection is opened by its
// first call.
func (c *Clients) Client(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.byAddress[address]
	if p == nil {
		p = newClient(address, &c.instances, c.Log)
		p.onLoads, p.onPing = c.ObserveLoads, c.OnPing
		c.byAddress[address] = p
	}
	return p
}

// CloseUnused closes the connections to all addresses for which inUse returns false, but for those
// that carry relayed connections: a peer that stops has left the list of members.
func (c *Clients) CloseUnused(inUse func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, p := range c.byAddress {
		if !inUse(a) && p.relayed.Load() == 0 {
			p.close()
			delete(c.byAddress, a)
		}
	}
}

// Client sends calls to one peer. It implements stages.Remote, placement.Remote and
// rollouts.Remote, and is safe for concurrent use.
//
// A connection may stop delivering data for good while new ones work. Therefore, when
// a call is not answered in time, the peer is pinged on the connection and then on a
// new one, which replaces the old one if the peer answers only there.
type Client struct {
	address   string
	instances *instances
	log       *log.Logger
	err       error                                          // set if the address is invalid; all calls return it
	onLoads   func(broker string, loads []hookhall.PoolLoad) // Clients.ObserveLoads
	onPing    func(address string) (done func(error))        // Clients.OnPing
	link      atomic.Pointer[link]
	relayed   atomic.Int64 // connections to targets that are open through the peer

	mu        sync.Mutex
	lastCheck time.Time // when the last check of the connection began
	closed    bool      // whether the client was closed because its address is unused
}

// link is one connection to a peer, which is opened by its first call.
type link struct {
	conn *grpc.ClientConn
	rpc  pb.FleetClient
}

// newClient returns a Client of the peer at address. If the address is invalid, all of its
// calls fail.
func newClient(address string, known *instances, l *log.Logger) *Client {
	c := &Client{address: address, instances: known, log: l}
	first, err := c.connect()
	c.err = err
	c.link.Store(first)
	return c
}

// connect returns a link to the peer, which need not be reachable yet.
func (c *Client) connect() (*link, error) {
	options := append(c.instances.dialOptions(c.address),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
		grpc.WithConnectParams(reconnectParams), grpc.WithIdleTimeout(idleTimeout), grpc.WithNoProxy(),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			return sockets.Dialer(connectTimeout, sockets.ServiceSilence).DialContext(ctx, "tcp", a)
		}),
		grpc.WithDisableServiceConfig(), grpc.WithMaxHeaderListSize(maxHeadBytes), grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10))
	conn, err := grpc.NewClient("passthrough:///"+c.address, options...)
	if err != nil {
		return nil, err
	}
	return &link{conn, pb.NewFleetClient(conn)}, nil
}

// rpc returns the stub of the current connection.
func (c *Client) rpc() pb.FleetClient { return c.link.Load().rpc }

// close closes the connection, which cancels its calls, and prevents another one.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if l := c.link.Load(); l != nil {
		_ = l.conn.Close() // fails only if it is already closed
	}
}

// checkAfterTimeout is called with the result of each short call. After a call that timed
// out it starts a check of the connection, at most one per minCheckInterval.
func (c *Client) checkAfterTimeout(err error) {
	if status.Code(err) != codes.DeadlineExceeded {
		return
	}
	now := clock.Now()
	c.mu.Lock()
	due := !c.closed && now.Sub(c.lastCheck) >= minCheckInterval
	if due {
		c.lastCheck = now
	}
	c.mu.Unlock()
	if due {
		go c.replaceIfSilent(c.link.Load())
	}
}

// replaceIfSilent replaces a connection on which the peer does not answer, if the peer
// answers on a new one. It keeps the old one of a peer that answers on neither, since
// the peer is then unavailable.
func (c *Client) replaceIfSilent(old *link) {
	if old.answersPing() {
		return
	}
	fresh, err := c.connect()
	if err != nil {
		return // doesn't happen: an earlier connection had the same valid address
	}
	if !fresh.answersPing() || !c.replace(old, fresh) {
		_ = fresh.conn.Close()
		return
	}
	c.log.Warn("unresponsive peer connection replaced", "peer", c.address)
	_ = old.conn.Close() // ends its calls, which would get no answer
}

// replace makes fresh the current connection, and reports whether old still was. A closed
// client is not connected again.
func (c *Client) replace(old, fresh *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.link.CompareAndSwap(old, fresh)
}

// answersPing reports whether the peer answers a ping on this connection within
// checkTimeout.
func (l *link) answersPing() bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	_, err := l.rpc.Ping(ctx, &pb.PingRequest{})
	return err == nil
}
