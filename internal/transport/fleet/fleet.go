// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package fleet carries stage work and news between gateways over gRPC.
//
// # Model
//
// A Server answers for this process's broker and catalog; Clients keep one
// connection to each peer, made on first use. An error of the way to a peer is
// told from an error of the work, since only the first lets the work be asked
// for elsewhere.
//
// # Invariants
//
//   - A call is sent once: gRPC's own retries are off.
//   - A connection on which a peer does not answer is replaced when a new one is
//     answered.
//   - Ages travel as durations: clocks of two machines are never compared.
package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// mostTable bounds an operators' table in bytes.
	mostTable = 8 << 20
)

// errNothingYet answers a peer that asks one that has only just started.
var errNothingYet = status.Error(codes.Unavailable, "nothing is known yet")

// largeReply lets a table through.
var largeReply = grpc.MaxCallRecvMsgSize(mostTable)

// Server answers peers.
type Server struct {
	pb.UnimplementedFleetServer
	Broker      *stages.Broker
	Placer      *placement.Placer
	Broadcaster *Broadcaster
}

// RunStage implements the service.
func (s *Server) RunStage(r *pb.StageRequest, stream pb.Fleet_RunStageServer) error {
	read := make(chan struct{}, 1)
	last := make(chan *pb.StageReply, 1)
	go func() { last <- s.runStage(stream.Context(), r, func() { read <- struct{}{} }) }()
	for {
		select {
		case <-read:
			if err := stream.Send(&pb.StageReply{InputsRead: true}); err != nil {
				return err
			}
		case reply := <-last:
			return stream.Send(reply)
		}
	}
}

func (s *Server) runStage(ctx context.Context, r *pb.StageRequest, inputsRead func()) *pb.StageReply {
	now := clock.Now()
	handles, err := s.Broker.Run(ctx, stages.Work{
		Service: r.GetService(), Call: r.GetRequest(), Stage: int(r.GetStage()), Pieces: int(r.GetPieces()),
		Key: r.GetKey(), Inputs: r.GetInputs(), Bytes: r.GetPieceBytes(),
		Due: now.Add(milliseconds(r.GetDueMs())), End: now.Add(milliseconds(r.GetRemainingMs())),
		Urgency: int(r.GetUrgency()), Hall: r.GetHall(), Cross: r.GetCrossBytes(), InputsRead: inputsRead,
		Content: readDigest(r.GetContent()), Account: r.GetAccount(),
	})
	if err != nil {
		e := hookhall.AsError(err)
		return &pb.StageReply{Reason: e.Detail, MayRetry: e.Cause == hookhall.CauseStage, NoTarget: e.Cause == hookhall.CauseNoTarget, Crashes: e.Cause == hookhall.CauseCrashes}
	}
	return &pb.StageReply{Handles: handles}
}

// Free implements the service.
func (s *Server) Free(_ context.Context, r *pb.FreeRequest) (*pb.FreeReply, error) {
	if r.GetIfCrowded() {
		s.Broker.FreeIfCrowded(r.GetService(), r.GetHandles())
	} else {
		s.Broker.Free(r.GetService(), r.GetHandles())
	}
	return &pb.FreeReply{}, nil
}

// Place implements the service.
func (s *Server) Place(_ context.Context, r *pb.PlaceRequest) (*pb.PlaceReply, error) {
	w := balance.Wish{
		Engine: !r.GetPlain(), Halls: r.GetHalls(), Shared: r.GetShared(), SharedTokens: int(r.GetSharedTokens()), OwnTokens: int(r.GetOwnTokens()),
		Parts: r.GetParts(), Near: r.GetNear(), Slack: milliseconds(r.GetSlackMs()), OutTokens: int(r.GetOutTokens()), Exclude: map[string]bool{},
		Versions: balance.Versions{Only: r.GetOnlyVersion(), Not: r.GetNotVersion(), Among: int(r.GetAmong())},
	}
	for _, id := range r.GetExclude() {
		w.Exclude[id] = true
	}
	s.Broadcaster.Advisories.Merge(readAdvisories(r.GetLimits(), clock.Now()), "request")
	c := s.Placer.Place(r.GetTicket(), r.GetService(), w)
	return &pb.PlaceReply{Target: c.Target, WaitUs: c.Wait.Microseconds(), RetryAfterUs: c.RetryAfter.Microseconds()}, nil
}

// Note implements the service.
func (s *Server) Note(_ context.Context, r *pb.NoteRequest) (*pb.NoteReply, error) {
	var notes []placement.Note
	for _, n := range r.GetNotes() {
		for k, v := range noteKinds {
			if v == n.GetKind() {
				notes = append(notes, placement.Note{Ticket: n.GetTicket(), Kind: k})
			}
		}
	}
	s.Placer.Take(notes)
	return &pb.NoteReply{}, nil
}

// Ping implements the service.
func (s *Server) Ping(context.Context, *pb.PingRequest) (*pb.PingReply, error) {
	return &pb.PingReply{}, nil
}

// Share implements the service.
func (s *Server) Share(_ context.Context, n *pb.News) (*pb.NewsReply, error) {
	s.Broadcaster.Take(n)
	return &pb.NewsReply{}, nil
}

// GetTable implements the service.
func (s *Server) GetTable(context.Context, *pb.TableRequest) (*pb.Table, error) {
	packed, revision := s.Broadcaster.Catalog.PackedTable()
	if revision == 0 {
		return nil, errNothingYet
	}
	return &pb.Table{Packed: packed, Revision: uint64(revision)}, nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Run implements stages.Remote.
func (c *Client) Run(ctx context.Context, w stages.Work) ([]string, error) {
	if c.err != nil {
		return nil, stages.ErrSilent(c.err)
	}
	now := clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies, err := c.rpc().RunStage(ctx, &pb.StageRequest{
		Request: w.Call, Stage: int32(w.Stage), Pieces: int32(w.Pieces), Service: w.Service, Key: w.Key, Inputs: w.Inputs,
		PieceBytes: w.Bytes, DueMs: w.Due.Sub(now).Milliseconds(), RemainingMs: w.End.Sub(now).Milliseconds(),
		Urgency: int32(w.Urgency), Hall: w.Hall, CrossBytes: w.Cross,
		Content: w.Content[:], Account: w.Account,
	})
	if err != nil {
		return nil, wayError(ctx, err)
	}
	reply, err := replies.Recv()
	for err == nil && reply.GetInputsRead() {
		w.InputsRead()
		reply, err = replies.Recv()
	}
	if err != nil {
		return nil, wayError(ctx, err)
	}
	if reply.GetReason() != "" || len(reply.GetHandles()) != w.Pieces {
		return nil, hookhall.Errorf(hookhall.NotRun, replyCause(reply), "%s", reply.GetReason())
	}
	return reply.GetHandles(), nil
}

// replyCause is why a broker could not have a stage made.
func replyCause(r *pb.StageReply) hookhall.Cause {
	switch {
	case r.GetMayRetry():
		return hookhall.CauseStage
	case r.GetNoTarget():
		return hookhall.CauseNoTarget
	case r.GetCrashes():
		return hookhall.CauseCrashes
	}
	return hookhall.CauseDeadline
}

// wayError tells the end of a call by its client from one by the way to the broker. A
// connection that is closed under its calls cancels them too.
func wayError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "%v", err)
	}
	return stages.ErrSilent(err)
}

// Free implements stages.Remote.
func (c *Client) Free(ctx context.Context, service string, handles []string, ifCrowded bool) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Free(ctx, &pb.FreeRequest{Service: service, Handles: handles, IfCrowded: ifCrowded})
	return err
}

// Ping implements stages.Remote.
func (c *Client) Ping(ctx context.Context) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Ping(ctx, &pb.PingRequest{})
	c.note(err)
	return err
}

// Place implements placement.Remote.
func (c *Client) Place(ctx context.Context, ticket, service string, w balance.Wish, limits []advisory.Report) (placement.Choice, error) {
	if c.err != nil {
		return placement.Choice{}, c.err
	}
	ask := &pb.PlaceRequest{
		Ticket: ticket, Service: service, Shared: w.Shared, SharedTokens: int64(w.SharedTokens), OwnTokens: int64(w.OwnTokens),
		Parts: w.Parts, Near: w.Near, SlackMs: w.Slack.Milliseconds(),
		OutTokens: int64(w.OutTokens), Plain: !w.Engine, Halls: w.Halls,
		OnlyVersion: w.Only, NotVersion: w.Not, Among: int32(w.Among),
		Limits: wireAdvisories(limits, clock.Now()),
	}
	for id := range w.Exclude {
		ask.Exclude = append(ask.Exclude, id)
	}
	reply, err := c.rpc().Place(ctx, ask)
	c.note(err)
	if err != nil {
		return placement.Choice{}, err
	}
	return placement.Choice{Target: reply.GetTarget(), Wait: microseconds(reply.GetWaitUs()), RetryAfter: microseconds(reply.GetRetryAfterUs())}, nil
}

// noteKinds are the kinds of notes as they travel.
var noteKinds = map[placement.Kind]pb.NoteKind{
	placement.Read: pb.NoteKind_NOTE_READ, placement.Ended: pb.NoteKind_NOTE_ENDED,
	placement.Failed: pb.NoteKind_NOTE_FAILED, placement.Full: pb.NoteKind_NOTE_FULL,
}

// Note implements placement.Remote.
func (c *Client) Note(ctx context.Context, notes []placement.Note) error {
	if c.err != nil {
		return c.err
	}
	ask := &pb.NoteRequest{}
	for _, n := range notes {
		ask.Notes = append(ask.Notes, &pb.PlacedNote{Ticket: n.Ticket, Kind: noteKinds[n.Kind]})
	}
	_, err := c.rpc().Note(ctx, ask)
	c.note(err)
	return err
}

// Share passes news on.
func (c *Client) Share(ctx context.Context, n *pb.News) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Share(ctx, n)
	c.note(err)
	return err
}

// Table reads the table that the peer has in force.
func (c *Client) Table(ctx context.Context) (*pb.Table, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetTable(ctx, &pb.TableRequest{}, largeReply)
}
