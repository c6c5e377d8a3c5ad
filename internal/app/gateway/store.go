// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/hookhall/hookhall/internal/coordination/outage"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// readerKey names the work of reading the store for all.
	readerKey = "reader"

	// manyRank is the rank of all that neither read for all nor stand by to.
	manyRank = 2

	// startPause is how long a process that knows nothing yet leaves the store alone
	// while it does not answer: it refuses all requests until then.
	startPause = 150 * time.Millisecond
	// outagePause is how long the process that reads the store for all does, and its
	// stand-in.
	outagePause = 400 * time.Millisecond
	// outageAgain is after how long they, and a process that knows nothing yet, make
	// a call that is not answered once more. The store answers in milliseconds, and
	// in a fifth of a second when it is slow.
	outageAgain = 250 * time.Millisecond
	// outageStep is how long others do, for each member of the fleet, outageMost at
	// most. Between them they ask a hundred times a second at any size, where 295
	// would ask seven hundred times at outagePause; so one that the store answers is
	// found soon when it turns the readers away.
	outageStep = 10 * time.Millisecond
	outageMost = 3 * time.Second
)

// readerRank is this process's place among those that read the store for all. Who
// has not met the others leaves it to them.
func (g *Gateway) readerRank() int {
	if !g.members.Met() {
		return manyRank
	}
	return g.members.Rank(readerKey, clock.Now())
}

// outagePace is how this process asks for a store that does not answer: often when
// others wait for its word or it knows nothing, else seldom.
func (g *Gateway) outagePace() outage.Pace {
	switch {
	case !g.catalog.Ready():
		return outage.Pace{PauseMost: startPause, Again: outageAgain}
	case g.catalog.Rank() < manyRank:
		return outage.Pace{PauseMost: outagePause, Again: outageAgain}
	}
	return outage.Pace{PauseMost: max(outagePause, min(time.Duration(g.members.Count())*outageStep, outageMost))}
}
