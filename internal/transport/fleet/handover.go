// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
)

// ReportHeld implements pb.FleetServer.
func (s *Server) ReportHeld(_ context.Context, r *pb.HeldRequest) (*pb.HeldReply, error) {
	results := make([]hookhall.HeldResult, 0, len(r.GetResults()))
	for _, h := range r.GetResults() {
		results = append(results, hookhall.HeldResult{Handle: h.GetHandle(), Bytes: h.GetBytes(), Remaining: milliseconds(h.GetRemainingMs())})
	}
	s.Broker.Adopt(r.GetService(), results)
	return &pb.HeldReply{}, nil
}

// ReportHeld implements stages.Remote.
func (c *Client) ReportHeld(ctx context.Context, service string, results []hookhall.HeldResult) error {
	if c.err != nil {
		return c.err
	}
	request := &pb.HeldRequest{Service: service}
	for _, r := range results {
		request.Results = append(request.Results, &pb.HeldResult{Handle: r.Handle, Bytes: r.Bytes, RemainingMs: r.Remaining.Milliseconds()})
	}
	_, err := c.rpc().ReportHeld(ctx, request)
	c.checkAfterTimeout(err)
	return err
}
