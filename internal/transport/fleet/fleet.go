// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package fleet sends stage work, placements and updates between gateways over gRPC.
//
// # Model
//
// A Server serves this process's broker, placements and catalog to its peers. Clients
// keeps one connection to each peer and opens it on first use. A failure to reach a
// peer is distinguished from a failure of the work, since only after the first may
// another peer be asked for the work.
//
// # Invariants
//
//   - A call is sent at most once: gRPC's own retries are disabled.
//   - A connection on which the peer does not answer is replaced if the peer answers
//     on a new one.
//   - Ages are sent as durations: clocks of two machines are never compared.
package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// maxTableBytes is the largest size of a reply with an operators' table, or with a
	// process's complete state.
	maxTableBytes = 8 << 20
)

// errNoState is returned to peers before this process has a table and targets.
var errNoState = status.Error(codes.Unavailable, "nothing is known yet")

// errHandedOver is returned for stage work of a pool that this process has handed over.
var errHandedOver = status.Error(codes.Aborted, "another member is the broker of the pool now")

// allowLargeReply raises gRPC's default size limit of a reply to maxTableBytes.
var allowLargeReply = grpc.MaxCallRecvMsgSize(maxTableBytes)

// Server is the gRPC service for peers. Its fields are set before it is registered.
type Server struct {
	pb.UnimplementedFleetServer
	// Broker runs stages at the targets of the services that this process is broker of. It may
	// be nil if no stages are sent to the server.
	Broker *stages.Broker
	// PlacementOwner chooses targets for the services whose placement this process owns.
	PlacementOwner *placement.Owner
	// Relayer connects peers to targets.
	Relayer Relayer
	// Bindings has the software versions that began streams.
	Bindings Bindings
	// Journal writes the software versions that began streams to the store.
	Journal Journal
	// Broadcaster has the catalog and the other state that peers read and update.
	Broadcaster *Broadcaster

	largeRepairs atomic.Int64 // number of peers that are being sent many targets
}

// RunStage implements pb.FleetServer.
func (s *Server) RunStage(r *pb.StageRequest, stream pb.Fleet_RunStageServer) error {
	var mu sync.Mutex // serializes messages to the stream
	ended := false
	last := s.runStage(stream.Context(), r, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			_ = stream.Send(&pb.StageReply{InputsRead: true}) // after a failure the last reply fails as well
		}
	})
	mu.Lock()
	defer mu.Unlock()
	ended = true
	if last == nil {
		return errHandedOver
	}
	err := stream.Context().Err()
	if err == nil {
		err = stream.Send(last)
	}
	if err != nil {
		s.Broker.Free(r.GetService(), last.GetHandles()) // nobody else knows of them
	}
	return err
}

// runStage runs the stage and returns the last reply, nil if the pool was handed over. It calls
// inputsRead in another goroutine once all inputs were read.
func (s *Server) runStage(ctx context.Context, r *pb.StageRequest, inputsRead func()) *pb.StageReply {
	if pieces := r.GetPieces(); pieces < 1 || pieces > hookhall.MaxPieces {
		return &pb.StageReply{Reason: fmt.Sprintf("%d pieces, want 1 to %d", pieces, hookhall.MaxPieces)}
	}
	now := clock.Now()
	handles, err := s.Broker.RunForPeer(ctx, stages.Work{
		Service: r.GetService(), RequestID: r.GetRequest(), Stage: int(r.GetStage()), PieceCount: int(r.GetPieces()),
		PieceKey: r.GetKey(), Inputs: r.GetInputs(), ResultBytes: r.GetPieceBytes(),
		LatestStart: now.Add(milliseconds(r.GetDueMs())), Deadline: now.Add(milliseconds(r.GetRemainingMs())),
		Urgency: int(r.GetUrgency()), Hall: r.GetHall(), CrossHallBytes: r.GetCrossBytes(), OnInputsRead: inputsRead,
		Content: readDigest(r.GetContent()), Account: r.GetAccount(),
		InputsExpire: readInputsExpire(r.GetInputsExpireMs(), now), Next: readUpcomingStages(r.GetNext()),
	})
	if errors.Is(err, stages.ErrNotOwner) {
		return nil
	}
	now = clock.Now()
	var load *pb.PoolLoad
	if l, ok := s.Broker.Load(r.GetService(), now); ok {
		load = wireLoad(l, now)
	}
	if err != nil {
		e := hookhall.AsError(err)
		return &pb.StageReply{Reason: e.Detail, MayRetry: e.Cause == hookhall.CauseStage, NoTarget: e.Cause == hookhall.CauseNoTarget, Crashes: e.Cause == hookhall.CauseCrashes, Load: load}
	}
	return &pb.StageReply{Handles: handles, Load: load}
}

// Free implements pb.FleetServer.
func (s *Server) Free(_ context.Context, r *pb.FreeRequest) (*pb.FreeReply, error) {
	if r.GetIfCrowded() {
		s.Broker.FreeIfMemoryConstrained(r.GetService(), r.GetHandles())
	} else {
		s.Broker.Free(r.GetService(), r.GetHandles())
	}
	return &pb.FreeReply{}, nil
}

// Place implements pb.FleetServer.
func (s *Server) Place(_ context.Context, r *pb.PlaceRequest) (*pb.PlaceReply, error) {
	criteria := balance.Criteria{
		IsEngineCall: !r.GetPlain(), Halls: r.GetHalls(), SharedPart: r.GetShared(), SharedTokens: int(r.GetSharedTokens()), OwnTokens: int(r.GetOwnTokens()),
		Parts: r.GetParts(), BytesByHall: r.GetNear(), LatencyBudget: milliseconds(r.GetSlackMs()), MaxOutputTokens: int(r.GetOutTokens()), ExcludedTargets: map[string]bool{},
		Versions: balance.Versions{Only: r.GetOnlyVersion(), Not: r.GetNotVersion(), MaxTargets: int(r.GetAmong())},
	}
	for _, id := range r.GetExclude() {
		criteria.ExcludedTargets[id] = true
	}
	s.Broadcaster.Advisories.Merge(readAdvisories(r.GetLimits(), clock.Now()), "request")
	choice := s.PlacementOwner.Place(r.GetTicket(), r.GetService(), criteria)
	return &pb.PlaceReply{Target: choice.Target, WaitUs: choice.Wait.Microseconds(), RetryAfterUs: choice.RetryAfter.Microseconds(), Full: choice.Full}, nil
}

// Note implements pb.FleetServer. It ignores notes of unknown kinds.
func (s *Server) Note(_ context.Context, r *pb.NoteRequest) (*pb.NoteReply, error) {
	var notes []placement.Note
	for _, n := range r.GetNotes() {
		for k, v := range wireNoteKinds {
			if v == n.GetKind() {
				notes = append(notes, placement.Note{Ticket: n.GetTicket(), Kind: k, Took: microseconds(n.GetTookUs())})
			}
		}
	}
	s.PlacementOwner.ProcessNotes(notes)
	return &pb.NoteReply{}, nil
}

// Ping implements pb.FleetServer.
func (s *Server) Ping(context.Context, *pb.PingRequest) (*pb.PingReply, error) {
	reply := &pb.PingReply{}
	if s.Broker == nil {
		return reply, nil // a server that runs no stages
	}
	now := clock.Now()
	for _, l := range s.Broker.Loads(now) {
		reply.Pools = append(reply.Pools, wireLoad(l, now))
	}
	return reply, nil
}

// Share implements pb.FleetServer.
func (s *Server) Share(_ context.Context, m *pb.News) (*pb.NewsReply, error) {
	s.Broadcaster.HandleUpdate(m)
	return &pb.NewsReply{}, nil
}

// GetTable implements pb.FleetServer.
func (s *Server) GetTable(_ context.Context, r *pb.TableRequest) (*pb.Table, error) {
	t := wireTable(s.Broadcaster.Catalog)
	if t.GetRevision() == 0 {
		return nil, errNoState
	}
	if r.GetHave() == t.GetRevision() {
		t.Packed = nil
	}
	return t, nil
}

// wireTable returns the table in force, with revision 0 before the first.
func wireTable(c *catalog.Catalog) *pb.Table {
	packed, revision, age := c.PackedTable(clock.Now())
	return &pb.Table{Packed: packed, Revision: uint64(revision), AgeMs: ageMS(age)}
}

// maxDuration bounds the times that peers state, so that none overflows.
const maxDuration = 365 * 24 * time.Hour

func milliseconds(n int64) time.Duration { return multiple(n, time.Millisecond) }

func microseconds(n int64) time.Duration { return multiple(n, time.Microsecond) }

// multiple returns n units, but no more than maxDuration before or after 0.
func multiple(n int64, unit time.Duration) time.Duration {
	limit := int64(maxDuration / unit)
	return time.Duration(min(max(n, -limit), limit)) * unit
}

// Run implements stages.Remote.
func (c *Client) Run(ctx context.Context, w stages.Work) ([]string, error) {
	if c.err != nil {
		return nil, stages.WrapUnreachable(c.err)
	}
	now := clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies, err := c.rpc().RunStage(ctx, &pb.StageRequest{
		Request: w.RequestID, Stage: int32(w.Stage), Pieces: int32(w.PieceCount), Service: w.Service, Key: w.PieceKey, Inputs: w.Inputs,
		PieceBytes: w.ResultBytes, DueMs: w.LatestStart.Sub(now).Milliseconds(), RemainingMs: w.Deadline.Sub(now).Milliseconds(),
		Urgency: int32(w.Urgency), Hall: w.Hall, CrossBytes: w.CrossHallBytes,
		Content: w.Content[:], Account: w.Account,
		InputsExpireMs: wireInputsExpire(w.InputsExpire, now), Next: wireUpcomingStages(w.Next),
	})
	if err != nil {
		return nil, transportError(ctx, err)
	}
	reply, err := replies.Recv()
	for err == nil && reply.GetInputsRead() {
		w.OnInputsRead()
		reply, err = replies.Recv()
	}
	if err != nil {
		return nil, transportError(ctx, err)
	}
	c.observeLoads(reply.GetLoad())
	if reply.GetReason() != "" || len(reply.GetHandles()) != w.PieceCount {
		return nil, hookhall.Errorf(hookhall.NotRun, replyCause(reply), "%s", reply.GetReason())
	}
	return reply.GetHandles(), nil
}

// replyCause returns the cause of a stage that a broker could not run.
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

// transportError distinguishes a call that its client ended from one whose broker could
// not be reached. gRPC's status alone can't: closing a connection cancels its calls too.
func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "%v", err)
	}
	if status.Code(err) == status.Code(errHandedOver) {
		return stages.ErrNotOwner
	}
	return stages.WrapUnreachable(err)
}

// Free implements stages.Remote.
func (c *Client) Free(ctx context.Context, service string, handles []string, ifMemoryConstrained bool) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Free(ctx, &pb.FreeRequest{Service: service, Handles: handles, IfCrowded: ifMemoryConstrained})
	return err
}

// Ping implements stages.Remote. A ping that times out starts a check of the connection.
func (c *Client) Ping(ctx context.Context) error {
	if c.err != nil {
		return c.err
	}
	done := func(error) {}
	if c.onPing != nil {
		done = c.onPing(c.address)
	}
	reply, err := c.rpc().Ping(ctx, &pb.PingRequest{})
	done(err)
	c.checkAfterTimeout(err)
	c.observeLoads(reply.GetPools()...)
	return err
}

// Place implements placement.Remote.
func (c *Client) Place(ctx context.Context, ticket, service string, criteria balance.Criteria, limits []advisory.Report) (placement.Choice, error) {
	if c.err != nil {
		return placement.Choice{}, c.err
	}
	request := &pb.PlaceRequest{
		Ticket: ticket, Service: service, Shared: criteria.SharedPart, SharedTokens: int64(criteria.SharedTokens), OwnTokens: int64(criteria.OwnTokens),
		Parts: criteria.Parts, Near: criteria.BytesByHall, SlackMs: criteria.LatencyBudget.Milliseconds(),
		OutTokens: int64(criteria.MaxOutputTokens), Plain: !criteria.IsEngineCall, Halls: criteria.Halls,
		OnlyVersion: criteria.Only, NotVersion: criteria.Not, Among: int32(criteria.MaxTargets),
		Limits: wireAdvisories(limits, clock.Now()),
	}
	for id := range criteria.ExcludedTargets {
		request.Exclude = append(request.Exclude, id)
	}
	reply, err := c.rpc().Place(ctx, request)
	c.checkAfterTimeout(err)
	if err != nil {
		return placement.Choice{}, err
	}
	return placement.Choice{Target: reply.GetTarget(), Wait: microseconds(reply.GetWaitUs()), RetryAfter: microseconds(reply.GetRetryAfterUs()), Full: reply.GetFull()}, nil
}

// wireNoteKinds maps the kinds of notes to those of the protocol.
var wireNoteKinds = map[placement.NoteKind]pb.NoteKind{
	placement.PromptRead: pb.NoteKind_NOTE_READ, placement.Ended: pb.NoteKind_NOTE_ENDED,
	placement.Failed: pb.NoteKind_NOTE_FAILED, placement.AtCapacity: pb.NoteKind_NOTE_FULL,
}

// Note implements placement.Remote.
func (c *Client) Note(ctx context.Context, notes []placement.Note) error {
	if c.err != nil {
		return c.err
	}
	request := &pb.NoteRequest{}
	for _, n := range notes {
		request.Notes = append(request.Notes, &pb.PlacedNote{Ticket: n.Ticket, Kind: wireNoteKinds[n.Kind], TookUs: n.Took.Microseconds()})
	}
	_, err := c.rpc().Note(ctx, request)
	c.checkAfterTimeout(err)
	return err
}

// SendUpdate sends update m to the peer.
func (c *Client) SendUpdate(ctx context.Context, m *pb.News) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Share(ctx, m)
	c.checkAfterTimeout(err)
	return err
}

// FetchTable reads the operators' table that the peer has in force, without its content if it is of
// the revision that this process has.
func (c *Client) FetchTable(ctx context.Context, have hookhall.Revision) (*pb.Table, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetTable(ctx, &pb.TableRequest{Have: uint64(have)}, allowLargeReply)
}
