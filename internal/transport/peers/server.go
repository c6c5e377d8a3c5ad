// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package peers

import (
	"context"
	"crypto/subtle"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/convert"
	pb "github.com/hookhall/hookhall/internal/protocol/peerpb"
	"github.com/hookhall/hookhall/internal/state/clock"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const (
	// maxKeyBytes is the largest size of a claim's key, which consists of the account
	// and the idempotency key, in bytes.
	maxKeyBytes = 512
	// maxRefusalLogsPerSecond bounds the log lines for refused calls, so that a peer
	// with wrong settings doesn't fill the log.
	maxRefusalLogsPerSecond = 1
)

// Handler processes the calls of peers, which peer.proto documents: HandleIsComplete those
// of Whole, HandleLeaseShares those of Take, and the others those of the same name. Its
// methods may be called concurrently.
type Handler interface {
	HandleProbe(context.Context, hookhall.Probe) hookhall.ProbeReply
	// HandleProbeFor reports whether the member at address answers a probe.
	HandleProbeFor(ctx context.Context, address string) bool
	HandleClaim(context.Context, hookhall.ClaimRequest) hookhall.ClaimReply
	HandleCopy(epoch uint64, r hookhall.Record) hookhall.CopyReply
	HandleSettle(context.Context, hookhall.Settlement) hookhall.CopyReply
	HandleFetch(hookhall.FetchRequest) hookhall.FetchReply
	// HandleIsComplete reports whether this member holds all records of its slots in epoch.
	HandleIsComplete(epoch uint64) bool
	// HandleLeaseShares leases shares of accounts' limits.
	HandleLeaseShares(hookhall.ShareRequest) hookhall.ShareReply
	// HandleTable returns the table in force, or only its version unless that is newer
	// than have.
	HandleTable(have uint64) hookhall.TableDocument
}

// Server is the gRPC service that passes messages of peers to a Handler.
type Server struct {
	pb.UnimplementedPeerServer
	handler    Handler
	secret     string
	log        *log.Logger
	logLimiter *rate.Limiter
	refused    atomic.Int64
}

// NewServer returns a Server that passes messages to h. Register adds it to a gRPC
// server, which must use Authenticate as its unary interceptor.
func NewServer(h Handler, secret string, l *log.Logger) *Server {
	return &Server{handler: h, secret: secret, log: l, logLimiter: rate.NewLimiter(maxRefusalLogsPerSecond, maxRefusalLogsPerSecond)}
}

// Register adds the service to g.
func (s *Server) Register(g grpc.ServiceRegistrar) { pb.RegisterPeerServer(g, s) }

// RefusedCalls returns the number of refused calls since the start.
func (s *Server) RefusedCalls() int64 { return s.refused.Load() }

// Authenticate is the interceptor that refuses calls with another protocol version
// or secret.
func (s *Server) Authenticate(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := firstValue(md, versionMetadataKey); v != ProtocolVersion {
		return nil, s.refuse(codes.FailedPrecondition, "protocol version "+v+" instead of "+ProtocolVersion)
	}
	if subtle.ConstantTimeCompare([]byte(firstValue(md, secretMetadataKey)), []byte(s.secret)) != 1 {
		return nil, s.refuse(codes.Unauthenticated, "wrong fleet secret")
	}
	return next(ctx, req)
}

// firstValue returns the first value of a metadata key, "" for none.
func firstValue(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

// refuse counts a refused call, logs it unless maxRefusalLogsPerSecond is reached, and returns
// the error for its caller.
func (s *Server) refuse(c codes.Code, reason string) error {
	s.refused.Add(1)
	if s.logLimiter.Allow() {
		s.log.Warn("peer call refused", "why", reason, "refused", s.refused.Load())
	}
	return status.Error(c, reason)
}

// Probe implements pb.PeerServer.
func (s *Server) Probe(ctx context.Context, q *pb.ProbeRequest) (*pb.ProbeReply, error) {
	r := s.handler.HandleProbe(ctx, hookhall.Probe{From: q.From, Epoch: q.Epoch, TableVersion: q.TableVersion, View: q.View, LeavingTargets: q.Leaving})
	return &pb.ProbeReply{Id: r.ID, Epoch: r.Epoch, TableVersion: r.TableVersion, View: r.View, Leaving: r.LeavingTargets}, nil
}

// ProbeFor implements pb.PeerServer.
func (s *Server) ProbeFor(ctx context.Context, q *pb.ProbeForRequest) (*pb.ProbeForReply, error) {
	return &pb.ProbeForReply{Reached: s.handler.HandleProbeFor(ctx, q.Address)}, nil
}

// Claim implements pb.PeerServer.
func (s *Server) Claim(ctx context.Context, q *pb.ClaimRequest) (*pb.ClaimReply, error) {
	if q.Key == "" || len(q.Key) > maxKeyBytes || q.Origin == "" {
		return nil, s.refuse(codes.InvalidArgument, "claim without key or origin")
	}
	r := s.handler.HandleClaim(ctx, hookhall.ClaimRequest{Epoch: q.Epoch, Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token})
	return convert.ClaimReply(r, clock.Now()), nil
}

// Copy implements pb.PeerServer.
func (s *Server) Copy(_ context.Context, q *pb.CopyRequest) (*pb.CopyReply, error) {
	if q.Record.GetKey() == "" || len(q.Record.GetKey()) > maxKeyBytes {
		return nil, s.refuse(codes.InvalidArgument, "copy without key")
	}
	r := s.handler.HandleCopy(q.Epoch, convert.FromRecord(q.Record, clock.Now()))
	return &pb.CopyReply{Stored: r.Stored, Epoch: r.Epoch}, nil
}

// Settle implements pb.PeerServer.
func (s *Server) Settle(ctx context.Context, q *pb.SettleRequest) (*pb.SettleReply, error) {
	state := hookhall.RecordState(q.State)
	if state < hookhall.StateFinished || state > hookhall.StateReleased {
		return nil, s.refuse(codes.InvalidArgument, "settlement with a wrong state")
	}
	r := s.handler.HandleSettle(ctx, hookhall.Settlement{Epoch: q.Epoch, Key: q.Key, Token: q.Token, State: state, Answer: q.Answer})
	return &pb.SettleReply{Done: r.Stored, Epoch: r.Epoch}, nil
}

// Fetch implements pb.PeerServer.
func (s *Server) Fetch(_ context.Context, q *pb.FetchRequest) (*pb.FetchReply, error) {
	r := s.handler.HandleFetch(hookhall.FetchRequest{Epoch: q.Epoch, Slots: q.Slots, View: q.View})
	return convert.FetchReply(r, clock.Now()), nil
}

// Whole implements pb.PeerServer.
func (s *Server) Whole(_ context.Context, q *pb.WholeRequest) (*pb.WholeReply, error) {
	return &pb.WholeReply{Whole: s.handler.HandleIsComplete(q.Epoch)}, nil
}

// Take implements pb.PeerServer.
func (s *Server) Take(_ context.Context, q *pb.TakeRequest) (*pb.TakeReply, error) {
	return convert.TakeReply(s.handler.HandleLeaseShares(convert.FromTakeRequest(q))), nil
}

// Table implements pb.PeerServer.
func (s *Server) Table(_ context.Context, q *pb.TableRequest) (*pb.TableReply, error) {
	d := s.handler.HandleTable(q.Have)
	return &pb.TableReply{Version: d.Version, Root: d.Root, Chunks: d.Chunks}, nil
}
