// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// coldWindow is the span in which the requests to a cold target are counted.
const coldWindow = time.Second

const (
	// placerShare and ownShare are the parts of what a cold target may get from the
	// whole fleet in a second that its placer gives out, and that all gateways
	// together send on their own while they have no placer. Two placers at once, as
	// when processes disagree on the members, stay within the bound together with
	// them, and a fifth of what one placer sends may arrive a second late.
	placerShare = 0.4
	ownShare    = 0.15
)

// ColdLimits bound what cold targets get.
type ColdLimits struct {
	// Over and Slack make the bound of a service whose targets bear ColdRate requests
	// a second when cold: ColdRate x Over + Slack in any second, from the whole fleet.
	Over  float64
	Slack float64
}

// most is the bound for a service, in requests in any second.
func (l ColdLimits) most(s *hookhall.Service) float64 {
	return s.ColdRate*max(l.Over, 1) + l.Slack
}

// Placer is how many requests in any second a cold target of a service gets from its
// placer: a part of the bound, and no more than the target bears for long. A service
// whose targets are never cold has no bound, and gets 0.
func (l ColdLimits) Placer(s *hookhall.Service) int {
	if s == nil || s.ColdRate <= 0 {
		return 0
	}
	return int(max(min(s.ColdRate, placerShare*l.most(s)), 1))
}

// Owners is how many gateways may each send one request a second to a cold target of
// a service without its placer.
func (l ColdLimits) Owners(s *hookhall.Service) int {
	if s == nil || s.ColdRate <= 0 {
		return 0
	}
	return int(max(ownShare*l.most(s), 1))
}

// Owns tells whether a gateway is among the first so many of all, by rendezvous
// hashing for a target.
func Owns(target, self string, all []string, owners int) bool {
	own := weight(target, self)
	before := 0
	for _, a := range all {
		if a != self && weight(target, a) > own {
			before++
		}
	}
	return before < owners
}

func weight(target, gateway string) uint64 {
	return xxhash.Sum64String(target + "\x00" + gateway)
}

// coldRoom tells whether a cold target may get another request.
func (a *record) coldRoom(most int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trimColds(now)
	return len(a.colds) < most
}

// takeCold counts a request to a cold target, unless it has had its most: another
// one may have been chosen at the same moment.
func (a *record) takeCold(most int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.trimColds(now)
	if len(a.colds) >= most {
		return false
	}
	a.colds = append(a.colds, now)
	return true
}

// trimColds forgets requests that no window holds. The caller holds a.mu.
func (a *record) trimColds(now time.Time) {
	for len(a.colds) > 0 && now.Sub(a.colds[0]) >= coldWindow {
		a.colds = a.colds[1:]
	}
}
