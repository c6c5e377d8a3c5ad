// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"sync"
	"time"
)

const (
	// divertBelow is the share of the time for which connections are accepted below which callers
	// are better served elsewhere, and shareWindow the time over which it is averaged.
	divertBelow = 0.5
	shareWindow = 500 * time.Millisecond
	// minDiversion and maxDiversion bound how long callers are diverted. It doubles when a diversion
	// follows soon on the one before, since the crowd has come back with the callers.
	minDiversion, maxDiversion = 5 * time.Second, 40 * time.Second
)

// Diversion decides whether the load balancer should send callers to other halls, by reporting this
// process as not ready. Callers that are refused reach another instance of the hall when they try
// again, so only an instance that is alone in its hall diverts them. The zero value is ready for use,
// and it is safe for concurrent use.
type Diversion struct {
	mu       sync.Mutex
	share    float64 // of the time for which connections were accepted, averaged
	hasShare bool
	active   bool
	began    time.Time
	ended    time.Time
	hold     time.Duration // of the diversion that is active or was last
}

// Active reports whether callers are to be diverted.
func (d *Diversion) Active() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

// Update records for how long connections are accepted in the interval that begins, whether there is
// a limit, and whether this process is alone in its hall while others serve other halls. It reports
// whether a diversion began or ended.
func (d *Diversion) Update(window, interval time.Duration, limited, alone bool, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	share := min(float64(window)/float64(interval), 1)
	if !d.hasShare {
		d.share, d.hasShare = 1, true
	}
	d.share += (share - d.share) * min(float64(interval)/float64(shareWindow), 1)
	switch {
	case d.active && (!alone || !limited && now.Sub(d.began) >= d.hold):
		d.active, d.ended = false, now
		return true
	case !d.active && alone && limited && d.share < divertBelow:
		d.hold = d.nextHold(now)
		d.active, d.began = true, now
		return true
	}
	return false
}

// nextHold returns how long a diversion that begins now holds at least.
func (d *Diversion) nextHold(now time.Time) time.Duration {
	if d.hold == 0 || now.Sub(d.ended) > 2*d.hold {
		return minDiversion
	}
	return min(2*d.hold, maxDiversion)
}
