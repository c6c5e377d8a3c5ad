// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// wireInputsExpire returns the time until the inputs expire in milliseconds, 0 if it is not
// known.
func wireInputsExpire(expiry, now time.Time) int64 {
	if expiry.IsZero() {
		return 0
	}
	return max(expiry.Sub(now).Milliseconds(), 1)
}

// readInputsExpire is the inverse of wireInputsExpire.
func readInputsExpire(ms int64, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(milliseconds(ms))
}

// wireUpcomingStages returns the protocol's form of upcoming stages.
func wireUpcomingStages(stages []hookhall.UpcomingStage) []*pb.UpcomingStage {
	var list []*pb.UpcomingStage
	for _, s := range stages {
		list = append(list, &pb.UpcomingStage{Service: s.Service, Pieces: int32(s.Pieces)})
	}
	return list
}

// readUpcomingStages is the inverse of wireUpcomingStages. Negative numbers are taken for 0.
func readUpcomingStages(stages []*pb.UpcomingStage) []hookhall.UpcomingStage {
	var list []hookhall.UpcomingStage
	for _, s := range stages {
		list = append(list, hookhall.UpcomingStage{Service: s.GetService(), Pieces: int(max(s.GetPieces(), 0))})
	}
	return list
}

// wireLoad returns the protocol's form of a load report, without the levels after the last
// one that is not 0.
func wireLoad(l hookhall.PoolLoad, now time.Time) *pb.PoolLoad {
	m := &pb.PoolLoad{
		Service: l.Service, Waiting: wirePieces(l.Waiting), Rate: float32(l.Rate),
		AgeMs: max(now.Sub(l.MeasuredAt).Milliseconds(), 0),
	}
	for i, rate := range l.Arriving {
		if rate >= minArriving {
			for len(m.Arriving) < i {
				m.Arriving = append(m.Arriving, 0)
			}
			m.Arriving = append(m.Arriving, float32(rate))
		}
	}
	for _, u := range l.Upcoming {
		m.Upcoming = append(m.Upcoming, &pb.Upcoming{Service: u.Service, Pieces: wirePieces(u.Pieces)})
	}
	return m
}

// minArriving is the smallest rate of arrivals that is sent, in pieces per second. Averages
// decay exponentially and don't reach 0.
const minArriving = 0.01

// wirePieces returns numbers of pieces by level without the zeros at the end.
func wirePieces(pieces [hookhall.UrgencyLevels]int) []int32 {
	var list []int32
	for i, n := range pieces {
		if n != 0 {
			for len(list) < i {
				list = append(list, 0)
			}
			list = append(list, int32(n))
		}
	}
	return list
}

// readLoad is the inverse of wireLoad. A peer that has more levels has those beyond the last
// one counted there. A negative age is taken for 0, as a report from the future would replace
// all later ones until then.
func readLoad(m *pb.PoolLoad, now time.Time) hookhall.PoolLoad {
	l := hookhall.PoolLoad{
		Service: m.GetService(), Waiting: readPieces(m.GetWaiting()), Rate: float64(m.GetRate()),
		MeasuredAt: now.Add(-milliseconds(max(m.GetAgeMs(), 0))),
	}
	for i, rate := range m.GetArriving() {
		l.Arriving[hookhall.UrgencyLevel(i)] += float64(rate)
	}
	for _, u := range m.GetUpcoming() {
		l.Upcoming = append(l.Upcoming, hookhall.UpcomingWork{Service: u.GetService(), Pieces: readPieces(u.GetPieces())})
	}
	return l
}

// readPieces is the inverse of wirePieces. Negative numbers are taken for 0.
func readPieces(list []int32) [hookhall.UrgencyLevels]int {
	var pieces [hookhall.UrgencyLevels]int
	for i, n := range list {
		pieces[hookhall.UrgencyLevel(i)] += int(max(n, 0))
	}
	return pieces
}

// observeLoads passes the loads in a reply of the peer on. A nil load, as from a peer of a
// version that sends none, is left out.
func (c *Client) observeLoads(loads ...*pb.PoolLoad) {
	if c.onLoads == nil {
		return
	}
	now := clock.Now()
	var list []hookhall.PoolLoad
	for _, m := range loads {
		if m != nil {
			list = append(list, readLoad(m, now))
		}
	}
	if len(list) > 0 {
		c.onLoads(c.address, list)
	}
}
