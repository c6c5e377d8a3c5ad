// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"time"

	"github.com/hookhall/hookhall/internal/coordination/outage"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// readerKey is the key of the shared work of reading the store for the whole fleet.
	readerKey = "reader"

	// passiveRank is the rank of the gateways that are neither the reader of the store,
	// which has rank 0, nor its standby, which has rank 1.
	passiveRank = 2

	// startMaxPause bounds the pause between calls of an unavailable store by a process
	// that is not ready yet. It is short, as such a process refuses all requests.
	startMaxPause = 150 * time.Millisecond
	// readerMaxPause bounds the same pause of the reader and of its standby. It is the
	// shortest bound for all other gateways.
	readerMaxPause = 400 * time.Millisecond
	// outageHedgeInterval is the interval at which the reader, its standby and a process
	// that is not ready yet send a probe again that has no answer. It is longer than the
	// store takes for an answer: milliseconds, or 200 ms when it is slow.
	outageHedgeInterval = 250 * time.Millisecond
	// maxPausePerMember, times the number of members, bounds that pause at the other
	// gateways; maxPauseLimit caps the product. Up to 300 gateways thus make about a
	// hundred calls per second together; with readerMaxPause, 295 gateways would make seven
	// hundred. A hundred are enough to find a gateway that the store answers soon if it
	// does not answer the reader and the standby.
	maxPausePerMember = 10 * time.Millisecond
	maxPauseLimit     = 3 * time.Second
)

// readerRank returns this process's rank as the reader of the store: 0 for the reader,
// 1 for its standby, and passiveRank for all others. A process that does not know the
// other members yet is passive, so that the reading is left to them.
func (g *Gateway) readerRank() int {
	if !g.members.HasList() {
		return passiveRank
	}
	return g.members.Rank(readerKey, clock.Now())
}

// outagePace returns how often this process calls a store that does not answer: often
// if it is not ready yet, or if it is the reader or its standby, else seldom.
func (g *Gateway) outagePace() outage.Pace {
	switch {
	case !g.catalog.Ready():
		return outage.Pace{MaxPause: startMaxPause, HedgeInterval: outageHedgeInterval}
	case g.catalog.ReaderRank() < passiveRank:
		return outage.Pace{MaxPause: readerMaxPause, HedgeInterval: outageHedgeInterval}
	}
	return outage.Pace{MaxPause: max(readerMaxPause, min(time.Duration(g.members.Count())*maxPausePerMember, maxPauseLimit))}
}
