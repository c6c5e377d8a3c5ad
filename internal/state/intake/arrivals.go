// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"math"
	"time"
)

const (
	// currentWindow and usualWindow are the times over which the current and the usual rate of arrivals are
	// averaged.
	currentWindow, usualWindow = 100 * time.Millisecond, 3 * time.Second
	// A surge is a current rate of surgeFactor times the usual one and minSurge more, per second. Smaller
	// differences occur by chance.
	surgeFactor, minSurge = 2, 20
)

// arrivalRate compares the current rate of arrivals with the usual one. The zero value has seen none.
type arrivalRate struct {
	count          int     // since the last interval
	current, usual float64 // per second
}

// advance ends an interval. One without a length is part of the next one.
func (a *arrivalRate) advance(interval time.Duration) {
	if interval <= 0 {
		return
	}
	rate := float64(a.count) / interval.Seconds()
	a.count = 0
	a.current += (rate - a.current) * weight(interval, currentWindow)
	a.usual += (rate - a.usual) * weight(interval, usualWindow)
}

// isSurge reports whether far more arrives than usual.
func (a *arrivalRate) isSurge() bool { return a.current >= surgeFactor*a.usual+minSurge }

// weight returns the weight of an interval in an average over a window.
func weight(interval, window time.Duration) float64 {
	return 1 - math.Exp(-interval.Seconds()/window.Seconds())
}
