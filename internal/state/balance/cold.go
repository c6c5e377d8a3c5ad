// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// coldWindow is the sliding window in which the requests to a cold target are counted.
const coldWindow = time.Second

const (
	// placementOwnerShare is the part of the fleet-wide limit of a cold target that
	// its placement owner assigns, and directShare the part that all gateways
	// together send by their own choice while there is no placement owner. Two
	// placement owners at once, as when processes disagree on the members, stay
	// within the limit together with the gateways (2 x 0.4 + 0.15 = 0.95). The rest
	// is for requests that arrive late, in the same second as later ones.
	placementOwnerShare = 0.4
	directShare         = 0.15
)

// ColdLimits bounds the requests that a cold target gets from the whole fleet. For a
// service whose targets can serve ColdRate requests a second while cold, the limit in
// any second is ColdRate times RateFactor, plus ExtraRequests.
type ColdLimits struct {
	RateFactor    float64 // factor of ColdRate; values below 1 count as 1
	ExtraRequests float64 // requests in any second
}

// maxPerSecond returns the fleet-wide limit of each cold target of a service, in
// requests in any second.
func (l ColdLimits) maxPerSecond(s *hookhall.Service) float64 {
	return s.ColdRate*max(l.RateFactor, 1) + l.ExtraRequests
}

// MaxFromPlacementOwner returns how many requests in any second a cold target of a
// service may get from its placement owner: placementOwnerShare of the limit, but at
// least 1 and no more than ColdRate, which the target can serve continuously. For a
// service whose targets are never cold it returns 0, which is not used as a limit.
func (l ColdLimits) MaxFromPlacementOwner(s *hookhall.Service) int {
	if s == nil || s.ColdRate <= 0 {
		return 0
	}
	return int(max(min(s.ColdRate, placementOwnerShare*l.maxPerSecond(s)), 1))
}

// MaxDirectSenders returns how many gateways may each send one request a second to a
// cold target of a service while it has no placement owner. It is at least 1, or 0 for
// a service whose targets are never cold.
func (l ColdLimits) MaxDirectSenders(s *hookhall.Service) int {
	if s == nil || s.ColdRate <= 0 {
		return 0
	}
	return int(max(directShare*l.maxPerSecond(s), 1))
}

// IsDirectSender reports whether the gateway self is among the first count of all
// gateways in the order of rendezvous hashing for a target. If all lacks self, it is
// ranked too.
func IsDirectSender(target, self string, all []string, count int) bool {
	ownWeight := rendezvousWeight(target, self)
	rank := 0
	for _, gateway := range all {
		if gateway != self && rendezvousWeight(target, gateway) > ownWeight {
			rank++
		}
	}
	return rank < count
}

// rendezvousWeight returns the weight of a candidate for a key in rendezvous hashing;
// the candidate with the largest weight is selected.
func rendezvousWeight(key, candidate string) uint64 {
	// Names of usual length are joined on the stack: a choice hashes each target.
	var buffer [128]byte
	joined := append(buffer[:0], key...)
	joined = append(joined, 0)
	return xxhash.Sum64(append(joined, candidate...))
}

// hasColdCapacity reports whether a cold target may get another request when it may
// get maxRequests in a coldWindow.
func (r *record) hasColdCapacity(maxRequests int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOldColdRequests(now)
	return len(r.coldRequests) < maxRequests
}

// reserveCold counts a request to a cold target, or returns false if it already has
// maxRequests: a concurrent call may have chosen it after hasColdCapacity.
func (r *record) reserveCold(maxRequests int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropOldColdRequests(now)
	if len(r.coldRequests) >= maxRequests {
		return false
	}
	r.coldRequests = append(r.coldRequests, now)
	return true
}

// dropOldColdRequests removes requests older than coldWindow. r.mu must be held.
func (r *record) dropOldColdRequests(now time.Time) {
	for len(r.coldRequests) > 0 && now.Sub(r.coldRequests[0]) >= coldWindow {
		r.coldRequests = r.coldRequests[1:]
	}
}
