// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
)

// brokenPathPool fails its first call, because of the target or of the broker's path to it.
type brokenPathPool struct {
	*fakePool
	isOwnPath bool
	calls     atomic.Int64
}

func (p *brokenPathPool) Make(ctx context.Context, t hookhall.Target, pieces []hookhall.Piece) ([]hookhall.PieceResult, error) {
	if p.calls.Add(1) == 1 {
		failure := hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseConnection, "reset")
		failure.OwnPath = p.isOwnPath
		return nil, failure
	}
	return p.fakePool.Make(ctx, t, pieces)
}

// TestOwnPathPausesNoPoolTarget guards against targets of a pool that get no calls for a while
// because the broker's path to them broke.
func TestOwnPathPausesNoPoolTarget(t *testing.T) {
	for _, isOwnPath := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(1)
			pool := &brokenPathPool{fakePool: f.pool, isOwnPath: isOwnPath}
			broker := NewBroker(newManyTargets(f, 1), pool, noQuarantine{}, &rollouts.Rollouts{}, log.New(io.Discard))
			began := time.Now()
			handles, err := broker.Run(t.Context(), Work{Service: "encode", RequestID: "call", PieceCount: 1, PieceKey: "key", LatestStart: began.Add(5 * time.Second), Deadline: began.Add(10 * time.Second)})
			if err != nil || len(handles) != 1 {
				t.Fatalf("%v, %v", handles, err)
			}
			const pause = 100 * time.Millisecond // after a failure of the target
			if waited := time.Since(began) >= pause; waited == isOwnPath {
				t.Errorf("own path %v: made again after %v", isOwnPath, time.Since(began))
			}
			broker.Free("encode", handles)
			synctest.Wait()
		})
	}
}
