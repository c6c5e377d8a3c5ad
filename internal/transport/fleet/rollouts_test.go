// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
)

// silentOwner is a peer that answers no report.
type silentOwner struct{ pb.UnimplementedFleetServer }

func (silentOwner) Tally(ctx context.Context, _ *pb.RolloutReport) (*pb.RolloutReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestReportOfRolloutsFails guards against a peer that has answered a report with an error, such as one of an
// earlier version, being taken for a silent one, and the other way round.
func TestReportOfRolloutsFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := l.Addr().String()
	_ = l.Close()
	for name, c := range map[string]struct {
		address  string
		isSilent bool
	}{
		"an earlier version": {serve(t, previousServer{}), false},
		"silent":             {serve(t, silentOwner{}), true},
		"ended":              {ended, true},
	} {
		t.Run(name, func(t *testing.T) {
			clients := NewClients(log.New(io.Discard))
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := clients.Client(c.address).Tally(ctx, rollouts.Report{Reporter: "self"})
			if err == nil || errors.Is(err, rollouts.ErrNoAnswer) != c.isSilent {
				t.Errorf("error %v, taken for silence: %v, want %v", err, errors.Is(err, rollouts.ErrNoAnswer), c.isSilent)
			}
		})
	}
}
