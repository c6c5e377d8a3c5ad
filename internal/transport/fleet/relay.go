// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/paths"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

const (
	// relayChunkBytes is the largest number of bytes of a connection in one message.
	relayChunkBytes = 16 << 10
	// relayIdleTimeout is how long a relayed connection may be silent: the process that
	// opened it may have failed without closing it.
	relayIdleTimeout = time.Minute
)

// How a relayed connection ends that the target did not close in order.
var (
	errTargetBroke = status.Error(codes.Aborted, "the target broke the connection off")
	// errRelayIdle says nothing about the target: this process gave the connection up.
	errRelayIdle = status.Error(codes.DeadlineExceeded, "the relayed connection was silent for too long")
)

// Relay implements pb.FleetServer.
func (s *Server) Relay(stream pb.Fleet_RelayServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	request := first.GetRequest()
	caller := ""
	if p, ok := peer.FromContext(stream.Context()); ok {
		caller = p.Addr.String()
	}
	c, err := s.Relayer.Open(stream.Context(), hookhall.RelayRequest{
		TargetID: request.GetTarget(), Address: request.GetAddress(), Urgency: int(request.GetUrgency()), AwaitReset: request.GetAwaitReset(),
	}, caller)
	if err != nil {
		var failure *hookhall.RelayError
		if !errors.As(err, &failure) {
			return err
		}
		return stream.Send(&pb.RelayMessage{Outcome: &pb.RelayOutcome{Failure: string(failure.Failure), Detail: failure.Detail}})
	}
	defer c.Close()
	if err := stream.Send(&pb.RelayMessage{Outcome: &pb.RelayOutcome{}}); err != nil {
		return err
	}
	defer context.AfterFunc(stream.Context(), func() { _ = c.Close() })()
	copied := make(chan error, 1)
	go func() { copied <- copyToTarget(c, stream) }()
	if err := copyFromTarget(stream, c); err != nil || !request.GetHalfClose() {
		return err
	}
	if err := stream.Send(&pb.RelayMessage{Ended: true}); err != nil {
		return err
	}
	return awaitCaller(copied)
}

// awaitCaller waits until the caller, whose bytes are still copied to a target that has ended its side, ends
// the stream.
func awaitCaller(copied <-chan error) error {
	idle := time.NewTimer(relayIdleTimeout)
	defer idle.Stop()
	select {
	case err := <-copied:
		return err
	case <-idle.C:
		return errRelayIdle
	}
}

// copyToTarget copies the caller's bytes to the target. It returns nil once the caller has ended the stream,
// and errTargetBroke if the target does not take them. The next read from the target fails then, too.
func copyToTarget(c net.Conn, stream pb.Fleet_RelayServer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return nil // the end of the stream closes the connection
		}
		if _, err := c.Write(m.GetData()); err != nil {
			return errTargetBroke
		}
	}
}

// copyFromTarget copies the target's bytes to the caller. It returns nil once the target has
// ended its side in order, and errTargetBroke only if the target broke it off.
func copyFromTarget(stream pb.Fleet_RelayServer, c net.Conn) error {
	buffer := make([]byte, relayChunkBytes)
	var wasIdle atomic.Bool
	idle := time.AfterFunc(relayIdleTimeout, func() {
		wasIdle.Store(true)
		_ = c.Close()
	})
	defer idle.Stop()
	for {
		n, err := c.Read(buffer)
		idle.Reset(relayIdleTimeout)
		if n > 0 {
			if err := stream.Send(&pb.RelayMessage{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil && wasIdle.Load():
			return errRelayIdle
		case err != nil && stream.Context().Err() != nil:
			return status.FromContextError(stream.Context().Err()).Err()
		case err != nil:
			return errTargetBroke
		}
	}
}

// Relayer opens connections to targets for peers.
type Relayer interface {
	// Open opens a connection for the peer at an address. A Read of it does not return io.EOF after a
	// Write has failed. The error is a *hookhall.RelayError.
	Open(ctx context.Context, r hookhall.RelayRequest, peer string) (net.Conn, error)
}

var _ Relayer = (*paths.Relayer)(nil)

// Relay implements hookhall.Relay.
func (c *Client) Relay(ctx context.Context, r hookhall.RelayRequest) (net.Conn, error) {
	if c.err != nil {
		return nil, &hookhall.RelayError{Failure: hookhall.RelayLost, Detail: c.err.Error()}
	}
	// The stream outlives ctx, which bounds opening the connection only.
	streamCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	outcome, stream, err := c.openRelay(streamCtx, r)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, &hookhall.RelayError{Failure: relayFailure(err), Detail: err.Error()}
	}
	if outcome.GetFailure() != "" {
		cancel()
		return nil, &hookhall.RelayError{Failure: hookhall.RelayFailure(outcome.GetFailure()), Detail: c.address + ": " + outcome.GetDetail()}
	}
	c.relayed.Add(1)
	return &relayConn{stream: stream, cancel: cancel, release: func() { c.relayed.Add(-1) }, address: relayAddress(r.Address)}, nil
}

// openRelay opens a stream and returns the outcome of its connection.
func (c *Client) openRelay(ctx context.Context, r hookhall.RelayRequest) (*pb.RelayOutcome, pb.Fleet_RelayClient, error) {
	stream, err := c.rpc().Relay(ctx)
	if err != nil {
		return nil, nil, err
	}
	request := &pb.RelayRequest{Target: r.TargetID, Address: r.Address, Urgency: int32(r.Urgency), AwaitReset: r.AwaitReset, HalfClose: true}
	if err := stream.Send(&pb.RelayMessage{Request: request}); err != nil && err != io.EOF {
		return nil, nil, err // io.EOF: the stream's own error follows
	}
	m, err := stream.Recv()
	if err != nil {
		return nil, nil, err
	}
	return m.GetOutcome(), stream, nil
}

// relayFailure returns the failure of a call to a peer that gave no outcome.
func relayFailure(err error) hookhall.RelayFailure {
	if status.Code(err) == codes.Unimplemented {
		return hookhall.RelayUnsupported
	}
	return hookhall.RelayLost
}

// relayConn is a connection to a target through a peer. One goroutine may read while another
// one writes.
type relayConn struct {
	stream  pb.Fleet_RelayClient
	cancel  context.CancelFunc
	release func()       // called once when the connection is closed
	address relayAddress // of the target
	once    sync.Once
	unread  []byte // received and not read yet
	ended   bool   // the target has ended its side
}

// relayAddress is the address of a target.
type relayAddress string

// Network implements net.Addr.
func (relayAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a relayAddress) String() string { return string(a) }

// Read implements net.Conn. A connection that the target broke off fails with ECONNRESET, one
// whose relay was lost with hookhall.ErrOwnPath.
func (c *relayConn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		m, err := c.stream.Recv()
		switch {
		case err == io.EOF:
			return 0, io.EOF
		case status.Code(err) == status.Code(errTargetBroke):
			return 0, errors.Wrap(syscall.ECONNRESET, "relayed")
		case err != nil:
			return 0, errors.Wrap(hookhall.ErrOwnPath, "relay lost: "+err.Error())
		}
		c.unread, c.ended = m.GetData(), m.GetEnded()
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *relayConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		chunk := b[written:min(written+relayChunkBytes, len(b))]
		if err := c.stream.Send(&pb.RelayMessage{Data: chunk}); err != nil {
			return written, errors.Wrap(syscall.EPIPE, "relayed") // the next read says why
		}
		written += len(chunk)
	}
	return written, nil
}

// Close implements net.Conn. It closes the connection to the target as well.
func (c *relayConn) Close() error {
	c.once.Do(c.release)
	c.cancel()
	return nil
}

// LocalAddr implements net.Conn.
func (c *relayConn) LocalAddr() net.Addr { return relayAddress("") }

// RemoteAddr implements net.Conn.
func (c *relayConn) RemoteAddr() net.Addr { return c.address }

// errNoDeadline is returned by the deadlines of relayed connections, which have none.
var errNoDeadline = errors.New("a relayed connection has no deadlines")

// SetDeadline implements net.Conn.
func (c *relayConn) SetDeadline(time.Time) error { return errNoDeadline }

// SetReadDeadline implements net.Conn.
func (c *relayConn) SetReadDeadline(time.Time) error { return errNoDeadline }

// SetWriteDeadline implements net.Conn.
func (c *relayConn) SetWriteDeadline(time.Time) error { return errNoDeadline }
