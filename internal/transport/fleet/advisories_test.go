// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

// TestBrittleOverWire guards against announcements of brittle targets that get lost or change on their
// way to peers, and against those of peers that don't know of them, which end none.
func TestBrittleOverWire(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, want := range map[string]advisory.Brittle{
		"brittle":           {Named: true, MaxRejections: 5, Heard: now.Add(-time.Second)},
		"no longer brittle": {Heard: now.Add(-2 * time.Second)},
		"never announced":   {},
	} {
		t.Run(name, func(t *testing.T) {
			got := readAdvisories(wireAdvisories([]advisory.Report{{Target: hookhall.Target{ID: "t"}, Brittle: want}}, now), now)
			if len(got) != 1 || got[0].Brittle.Named != want.Named || got[0].Brittle.MaxRejections != want.MaxRejections {
				t.Fatalf("got %+v, want %+v", got, want)
			}
			// Ages are sent in whole milliseconds.
			if difference := want.Heard.Sub(got[0].Brittle.Heard); difference < 0 || difference > time.Millisecond {
				t.Errorf("heard at %v, want %v", got[0].Brittle.Heard, want.Heard)
			}
		})
	}
	t.Run("a peer of an earlier version", func(t *testing.T) {
		if got := readAdvisories([]*pb.TargetAdvisory{{Target: "t", Limited: true}}, now); got[0].Brittle != (advisory.Brittle{}) {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("a negative bound", func(t *testing.T) {
		got := readAdvisories([]*pb.TargetAdvisory{{Target: "t", HasBrittle: true, Brittle: true, MaxRejections: -1}}, now)
		if !got[0].Brittle.Named || got[0].Brittle.MaxRejections != 0 {
			t.Errorf("got %+v", got)
		}
	})
}
