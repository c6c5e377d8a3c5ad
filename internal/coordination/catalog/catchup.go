// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
)

// awaitPeersOrTurn reports whether a process of maxRank, whose targets are too old, does not call the
// store yet: a peer has what it lacks, or it is not its turn.
func (f *targetsFollower) awaitPeersOrTurn(ctx context.Context) bool {
	if f.ReaderRank() < maxRank || f.snapshot.Load() == nil {
		return false
	}
	if f.prefersPeers() {
		f.PullTargets(ctx)
	}
	now := clock.Now()
	return !f.isDue(now) || !f.prepareCatchUp(now) && !f.isTurn(now)
}

// prepareCatchUp decides whether a process of maxRank in a large fleet asks the store for the changes
// since its own revision, which is a small call, rather than list all targets.
func (f *targetsFollower) prepareCatchUp(now time.Time) bool {
	f.watchRevision, f.catchesUp = 0, false
	snapshot := f.snapshot.Load()
	if f.readSpread() < minPullSpread || snapshot.Began.Equal(f.copyBegan) || snapshot.Age(now) > maxCatchUpAge || f.watchFailed {
		return false
	}
	f.watchRevision, f.catchesUp = snapshot.Revision, true
	return true
}

// isTurn reports whether this process may list all targets for itself now.
func (f *targetsFollower) isTurn(now time.Time) bool {
	spread := f.readSpread()
	if !f.awaitsTurn || f.turnSpread < spread/2 {
		f.awaitsTurn, f.turnSpread = true, spread
		if turnAt := now.Add(randomPart(spread)); f.turnAt.Before(turnAt) {
			f.turnAt = turnAt
		}
	}
	return !now.Before(f.turnAt)
}

// endTurn sets the next turn after a list of all targets.
func (f *targetsFollower) endTurn(now time.Time, err error) {
	f.awaitsTurn = false
	if err == nil {
		f.turnAt = now.Add(f.turnSpread)
	} else {
		f.turnAt = now.Add(randomPart(f.turnSpread / 4))
	}
}

// randomPart returns a random part of a duration.
func randomPart(d time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(d)) }

// prefersPeers reports whether a process of maxRank asks a peer before it reads the store: the store
// does not answer it, or readings by all would be too much for the store.
func (c *Catalog) prefersPeers() bool { return c.Failing() || c.readSpread() >= minPullSpread }

// readSpread returns the time over which the gateways of this fleet spread when they read all
// targets for themselves.
func (c *Catalog) readSpread() time.Duration {
	gateways := c.GatewayCount()
	c.mu.Lock()
	targets := c.listedCount
	if snapshot := c.snapshot.Load(); snapshot != nil && snapshot.Began.Equal(c.firstBegan) {
		// A copy from the start of a fleet lacks most targets.
		targets = max(targets, minTargetsPerGateway*gateways)
	}
	c.mu.Unlock()
	return min(time.Duration(gateways*targets)*readTimePerTarget, maxReadSpread)
}
