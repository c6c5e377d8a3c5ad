// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
)

// TestLargeNumbersOfPeers guards against gateways that end because a peer states a number of pieces that can't be allotted, and
// against other numbers of peers that overflow.
func TestLargeNumbersOfPeers(t *testing.T) {
	for _, pieces := range []int32{math.MinInt32, -1, 0, hookhall.MaxPieces + 1, math.MaxInt32} {
		// Without a broker the stage can't run: it must be refused before.
		reply := (&Server{}).runStage(t.Context(), &pb.StageRequest{Service: "pool", Pieces: pieces}, nil)
		if reply.GetReason() == "" || reply.GetMayRetry() {
			t.Errorf("%d pieces: %v", pieces, reply)
		}
	}
	for n, isPositive := range map[int64]bool{math.MaxInt64: true, math.MinInt64: false} {
		for unit, d := range map[string]time.Duration{"ms": milliseconds(n), "us": microseconds(n)} {
			if (d > 0) != isPositive || d > 10000*time.Hour || d < -10000*time.Hour {
				t.Errorf("%d %s is %v", n, unit, d)
			}
		}
	}
	if d := milliseconds(1500); d != 1500*time.Millisecond {
		t.Errorf("1500 ms is %v", d)
	}
	load := readLoad(&pb.PoolLoad{Service: "pool", Waiting: []int32{-5, 7}, AgeMs: math.MaxInt64}, time.Now())
	if load.Waiting[0] != 0 || load.Waiting[1] != 7 || load.MeasuredAt.After(time.Now()) {
		t.Errorf("%+v", load)
	}
}
