// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// maxBindingTTL limits how long a binding from another process is kept.
const maxBindingTTL = 2 * time.Minute

// Bindings holds the software versions that began streams.
type Bindings interface {
	// Merge adds bindings of another process.
	Merge(list []binding.Binding)
	// Known returns what this process knows about a stream.
	Known(q bindings.Query) bindings.Known
}

// Journal writes the software versions that began streams to the store.
type Journal interface {
	// Record returns once the bindings of a service are written.
	Record(ctx context.Context, service string, list []binding.Binding) (bindings.Base, error)
}

// Bind implements pb.FleetServer. It omits bindings whose key has a wrong length.
func (s *Server) Bind(_ context.Context, r *pb.BindRequest) (*pb.BindReply, error) {
	s.Bindings.Merge(readBindings(r.GetBindings()))
	return &pb.BindReply{}, nil
}

// RecordStreams implements pb.FleetServer. It omits bindings whose key has a wrong length.
func (s *Server) RecordStreams(ctx context.Context, r *pb.RecordRequest) (*pb.RecordReply, error) {
	base, err := s.Journal.Record(ctx, r.GetService(), readBindings(r.GetBindings()))
	if err != nil {
		return nil, err
	}
	return &pb.RecordReply{BaseVersion: base.Version, HasBase: base.IsKnown}, nil
}

// FindBinding implements pb.FleetServer.
func (s *Server) FindBinding(_ context.Context, r *pb.BindingQuery) (*pb.BindingAnswer, error) {
	key, ok := readKey(r.GetKey())
	if !ok {
		return &pb.BindingAnswer{}, nil
	}
	known := s.Bindings.Known(bindings.Query{Key: key, Service: r.GetService(), Window: milliseconds(r.GetWindowMs())})
	answer := &pb.BindingAnswer{Versions: known.Versions, ReachMs: known.Reach.Milliseconds(), StartRevision: uint64(known.StartedAt)}
	if known.IsBound {
		answer.Binding = wireBinding(known.Binding, clock.Now())
	}
	return answer, nil
}

// Bind implements bindings.Remote.
func (c *Client) Bind(ctx context.Context, list []binding.Binding) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Bind(ctx, &pb.BindRequest{Bindings: wireBindings(list)})
	c.checkAfterTimeout(err)
	return err
}

// RecordStreams implements bindings.Remote.
func (c *Client) RecordStreams(ctx context.Context, service string, list []binding.Binding) (bindings.Base, error) {
	if c.err != nil {
		return bindings.Base{}, c.err
	}
	reply, err := c.rpc().RecordStreams(ctx, &pb.RecordRequest{Service: service, Bindings: wireBindings(list)})
	c.checkAfterTimeout(err)
	return bindings.Base{Version: reply.GetBaseVersion(), IsKnown: reply.GetHasBase()}, err
}

// FindBinding implements bindings.Remote.
func (c *Client) FindBinding(ctx context.Context, q bindings.Query) (bindings.Known, error) {
	if c.err != nil {
		return bindings.Known{}, c.err
	}
	answer, err := c.rpc().FindBinding(ctx, &pb.BindingQuery{Key: q.Key[:], Service: q.Service, WindowMs: q.Window.Milliseconds()})
	c.checkAfterTimeout(err)
	if err != nil {
		return bindings.Known{}, err
	}
	known := bindings.Known{Versions: answer.GetVersions(), Reach: milliseconds(answer.GetReachMs()), StartedAt: hookhall.Revision(answer.GetStartRevision())}
	if answer.GetBinding() != nil {
		known.Binding, known.IsBound = readBinding(answer.GetBinding(), clock.Now())
	}
	return known, nil
}

// wireBindings converts bindings for a message that is sent now.
func wireBindings(list []binding.Binding) []*pb.StreamBinding {
	now := clock.Now()
	messages := make([]*pb.StreamBinding, 0, len(list))
	for _, bound := range list {
		messages = append(messages, wireBinding(bound, now))
	}
	return messages
}

// readBindings converts the bindings of a message that is received now, without those whose key has a
// wrong length.
func readBindings(messages []*pb.StreamBinding) []binding.Binding {
	now := clock.Now()
	list := make([]binding.Binding, 0, len(messages))
	for _, m := range messages {
		if bound, ok := readBinding(m, now); ok {
			list = append(list, bound)
		}
	}
	return list
}

// wireBinding converts a binding for a message that is sent at now.
func wireBinding(bound binding.Binding, now time.Time) *pb.StreamBinding {
	return &pb.StreamBinding{Key: bound.Key[:], Service: bound.Service, Version: bound.Version, RemainingMs: bound.ExpiresAt.Sub(now).Milliseconds(), Explicit: bound.IsExplicit, Unrecorded: bound.IsUnrecorded}
}

// readBinding converts a binding of a message that was received at now. It returns false for a key
// of a wrong length.
func readBinding(m *pb.StreamBinding, now time.Time) (binding.Binding, bool) {
	key, ok := readKey(m.GetKey())
	ttl := min(milliseconds(m.GetRemainingMs()), maxBindingTTL)
	return binding.Binding{Key: key, Service: m.GetService(), Version: m.GetVersion(), ExpiresAt: now.Add(ttl), IsExplicit: m.GetExplicit(), IsUnrecorded: m.GetUnrecorded()}, ok
}

// readKey converts the key of a stream, and returns false for a wrong length.
func readKey(b []byte) (binding.Key, bool) {
	if len(b) != len(binding.Key{}) {
		return binding.Key{}, false
	}
	return binding.Key(b), true
}
