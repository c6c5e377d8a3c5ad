// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// rejoinMost bounds the pause between tries to come back. Each removal and
// return is two epochs for the whole fleet, so a member that flaps is slowed.
const rejoinMost = 30 * time.Second

// rejoin brings this process back into the view after it was taken out. It
// waits until a member can reach it: one that can send but not be reached would
// be taken out again at once, and come back, without end.
func (f *Fleet) rejoin(ctx context.Context) {
	pause := retry.Between(f.timing.Heartbeat, rejoinMost)
	var since time.Time // a member again since
	for retry.Sleep(ctx, retry.Jitter(f.timing.Heartbeat)) {
		if f.leaving.Load() || !f.joined.Load() {
			continue
		}
		if f.member() {
			if clock.Since(since) > rejoinMost {
				pause.Reset()
			}
			continue
		}
		if !f.reachable(ctx) {
			continue
		}
		f.log.Info("Joining again.")
		if err := f.Join(ctx); err != nil {
			f.log.Warn("Can't join again.", "error", err.Error())
		}
		since = clock.Now()
		pause.Wait(ctx)
	}
}

// reachable asks members to probe this process: half of those asked must reach it. Alone it
// is always reachable.
func (f *Fleet) reachable(ctx context.Context) bool {
	members := successors(f.View().Members, f.self.ID, Successors)
	reached := 0
	for _, m := range members {
		wctx, cancel := context.WithTimeout(ctx, 2*f.timing.Heartbeat)
		seen, err := f.peers.Peer(m.Address).ProbeFor(wctx, f.self.Address)
		cancel()
		if err == nil && seen {
			reached++
		}
	}
	return 2*reached >= len(members)
}
