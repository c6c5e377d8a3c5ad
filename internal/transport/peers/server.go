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
	// maxKeyLength bounds claim keys: account and idempotency key.
	maxKeyLength = 512
	// refusalsLogged a second are logged at most.
	refusalsLogged = 1
)

// Handler is what an entry does with its peers' messages.
type Handler interface {
	HandleProbe(context.Context, hookhall.Probe) hookhall.ProbeReply
	HandleProbeFor(ctx context.Context, address string) bool
	HandleClaim(context.Context, hookhall.ClaimRequest) hookhall.ClaimReply
	HandleCopy(epoch uint64, r hookhall.Record) hookhall.CopyReply
	HandleSettle(context.Context, hookhall.Settlement) hookhall.CopyReply
	HandleFetch(hookhall.FetchRequest) hookhall.FetchReply
	HandleWhole(epoch uint64) bool
	HandleTake(hookhall.TakeRequest) hookhall.TakeReply
	HandleTable(have uint64) hookhall.TableDocument
}

// Server answers peers.
type Server struct {
	pb.UnimplementedPeerServer
	handler Handler
	secret  string
	log     *log.Logger
	limit   *rate.Limiter
	refused atomic.Int64
}

// NewServer makes a Server; Register ties it to a gRPC server that was made
// with its Options.
func NewServer(h Handler, secret string, l *log.Logger) *Server {
	return &Server{handler: h, secret: secret, log: l, limit: rate.NewLimiter(refusalsLogged, refusalsLogged)}
}

// Register ties the server to g.
func (s *Server) Register(g grpc.ServiceRegistrar) { pb.RegisterPeerServer(g, s) }

// Refused is the number of calls refused.
func (s *Server) Refused() int64 { return s.refused.Load() }

// Check is the interceptor that refuses calls of strangers.
func (s *Server) Check(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := first(md, keyVersion); v != Version {
		return nil, s.refuse(codes.FailedPrecondition, "protocol version "+v+" instead of "+Version)
	}
	if subtle.ConstantTimeCompare([]byte(first(md, keySecret)), []byte(s.secret)) != 1 {
		return nil, s.refuse(codes.Unauthenticated, "wrong fleet secret")
	}
	return next(ctx, req)
}

func first(md metadata.MD, key string) string {
	if v := md.Get(key); len(v) > 0 {
		return v[0]
	}
	return ""
}

func (s *Server) refuse(c codes.Code, why string) error {
	s.refused.Add(1)
	if s.limit.Allow() {
		s.log.Warn("Refused a peer's call.", "why", why, "refused", s.refused.Load())
	}
	return status.Error(c, why)
}

// Probe implements pb.PeerServer.
func (s *Server) Probe(ctx context.Context, q *pb.ProbeRequest) (*pb.ProbeReply, error) {
	r := s.handler.HandleProbe(ctx, hookhall.Probe{From: q.From, Epoch: q.Epoch, TableVersion: q.TableVersion, View: q.View, Leaving: q.Leaving})
	return &pb.ProbeReply{Id: r.ID, Epoch: r.Epoch, TableVersion: r.TableVersion, View: r.View, Leaving: r.Leaving}, nil
}

// ProbeFor implements pb.PeerServer.
func (s *Server) ProbeFor(ctx context.Context, q *pb.ProbeForRequest) (*pb.ProbeForReply, error) {
	return &pb.ProbeForReply{Reached: s.handler.HandleProbeFor(ctx, q.Address)}, nil
}

// Claim implements pb.PeerServer.
func (s *Server) Claim(ctx context.Context, q *pb.ClaimRequest) (*pb.ClaimReply, error) {
	if q.Key == "" || len(q.Key) > maxKeyLength || q.Origin == "" {
		return nil, s.refuse(codes.InvalidArgument, "claim without key or origin")
	}
	r := s.handler.HandleClaim(ctx, hookhall.ClaimRequest{Epoch: q.Epoch, Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token})
	return convert.ClaimReply(r, clock.Now()), nil
}

// Copy implements pb.PeerServer.
func (s *Server) Copy(_ context.Context, q *pb.CopyRequest) (*pb.CopyReply, error) {
	if q.Record.GetKey() == "" || len(q.Record.GetKey()) > maxKeyLength {
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
	return &pb.WholeReply{Whole: s.handler.HandleWhole(q.Epoch)}, nil
}

// Take implements pb.PeerServer.
func (s *Server) Take(_ context.Context, q *pb.TakeRequest) (*pb.TakeReply, error) {
	return convert.TakeReply(s.handler.HandleTake(convert.FromTakeRequest(q))), nil
}

// Table implements pb.PeerServer.
func (s *Server) Table(_ context.Context, q *pb.TableRequest) (*pb.TableReply, error) {
	d := s.handler.HandleTable(q.Have)
	return &pb.TableReply{Version: d.Version, Root: d.Root, Chunks: d.Chunks}, nil
}
