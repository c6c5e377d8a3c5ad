// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// maxRejoinPause bounds the pause between two attempts to rejoin. Each removal and
// return makes two epochs for the whole fleet, so a member that flaps is slowed down.
const maxRejoinPause = 30 * time.Second

// rejoinLoop adds this process to the view again after it was removed, once other
// members can reach it. A process that can send but not be reached would otherwise
// be removed and rejoin endlessly.
func (f *Fleet) rejoinLoop(ctx context.Context) {
	backoff := retry.NewWithDelays(f.timing.HeartbeatInterval, maxRejoinPause)
	var rejoinedAt time.Time
	for retry.Sleep(ctx, retry.Jitter(f.timing.HeartbeatInterval)) {
		if f.leaving.Load() || !f.wantsMembership.Load() {
			continue
		}
		if f.isMember() {
			if clock.Since(rejoinedAt) > maxRejoinPause {
				backoff.Reset()
			}
			continue
		}
		if !f.reachable(ctx) {
			continue
		}
		f.log.Info("rejoining the view")
		if err := f.Join(ctx); err != nil {
			f.log.Warn("could not rejoin the view", "error", err.Error())
		}
		rejoinedAt = clock.Now()
		backoff.Wait(ctx)
	}
}

// reachable asks this process's successors to probe it, and reports whether at least half
// of them reach it. It is true if there are no other members.
func (f *Fleet) reachable(ctx context.Context) bool {
	members := successors(f.View().Members, f.self.ID, SuccessorCount)
	reached := 0
	for _, m := range members {
		witnessCtx, cancel := context.WithTimeout(ctx, 2*f.timing.HeartbeatInterval)
		seen, err := f.peers.Peer(m.Address).ProbeFor(witnessCtx, f.self.Address)
		cancel()
		if err == nil && seen {
			reached++
		}
	}
	return 2*reached >= len(members)
}
