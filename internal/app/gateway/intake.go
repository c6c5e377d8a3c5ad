// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall/internal/app/logging"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/intake"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// maxInterval bounds the time for which connections are accepted at once under a limit, if
	// timers fire late.
	maxInterval = 100 * time.Millisecond
	// probeTimeout bounds a round trip that only measures the delay.
	probeTimeout = 300 * time.Millisecond
	// delayReportInterval is the time between two log lines about a delayed process.
	delayReportInterval = time.Second
	// loggedDelay is the delay from which a process is logged as delayed. It is small against
	// what callers wait for, and larger than what the scheduling of a busy process takes.
	loggedDelay = 30 * time.Millisecond
)

// delayCounts are the numbers of a process that are logged with its delay.
type delayCounts struct {
	connections, accepted int64 // of clients: open ones, and all so far
	inProgress, reading   int64 // requests, and those of them whose body is being read
	bodyBytes             int64
	limit                 int   // of the requests in progress, 0 for none
	windowMS              int64 // for which connections are accepted at once under a limit
	closedUnread          int64 // connections closed with a request unread, all so far
	closedIdle            int64 // connections closed without a request, all so far
	pauses                int64 // times at which connections were refused, all so far
}

// delayMonitor measures the delay of this process from the times of its timers and connections, and
// logs it while it is large.
type delayMonitor struct {
	Meter  *intake.DelayMeter
	Counts func() delayCounts
	// OnInterval is called with each delay measured.
	OnInterval func(d intake.Delay, interval time.Duration)
	// Probe makes a round trip if the delay measured is to be followed or confirmed. It must not
	// block.
	Probe func(d intake.Delay)
	Log   *log.Logger

	intervalBegan, reportedAt time.Time
	worst                     intake.Delay // since the last report
}

// timerFired records how late a timer fired, which ends an interval. It is not safe for concurrent
// use.
func (m *delayMonitor) timerFired(late time.Duration, now time.Time) {
	m.Meter.TimerFired(late)
	interval := now.Sub(m.intervalBegan)
	m.intervalBegan = now
	d := m.Meter.Next(now)
	m.OnInterval(d, min(interval, maxInterval))
	m.Probe(d)
	if d.Total() > m.worst.Total() {
		m.worst = d
	}
	if now.Sub(m.reportedAt) < delayReportInterval {
		return
	}
	if m.worst.Total() >= loggedDelay {
		c := m.Counts()
		m.Log.Warn("process is delayed", "trips_ms", m.worst.Trips.Milliseconds(), "completed", m.worst.Completed, "overdue", m.worst.Overdue, "timers_ms", m.worst.Timers.Milliseconds(),
			"connections", c.connections, "accepted", c.accepted, "in_progress", c.inProgress, "reading", c.reading, "body_bytes", c.bodyBytes, "limit", c.limit, "window_ms", c.windowMS, "closed_unread", c.closedUnread, "closed_idle", c.closedIdle, "pauses", c.pauses)
	}
	m.worst, m.reportedAt = intake.Delay{}, now
}

// monitorDelay measures the delay of this process from now on.
func (g *Gateway) monitorDelay() {
	meter := &intake.DelayMeter{}
	monitor := &delayMonitor{
		Meter: meter, Log: g.logger(logging.App), Probe: g.probeDelay,
		Counts: func() delayCounts {
			limiter := g.intake.Limiter.Status()
			return delayCounts{
				connections: g.connections.Open(), accepted: g.connections.Accepted(),
				inProgress: g.drain.InFlight(), reading: g.handler.Reading(), bodyBytes: g.bodyBudget.Held(),
				limit: int(limiter.Limit), windowMS: limiter.WindowMS, closedUnread: g.intake.ClosedUnread(), closedIdle: g.intake.ClosedIdle(), pauses: g.clientsListener.Pauses(),
			}
		},
		OnInterval: func(d intake.Delay, interval time.Duration) {
			g.adjustIntake(d, interval)
			g.metrics.OwnDelay(d.Trips, d.Timers)
			g.metrics.ClientConnections(g.connections.Open(), g.handler.Reading())
			g.metrics.IntakeLimit(g.intake.Limiter.Status().Limit)
		},
	}
	g.members.OnTimer = monitor.timerFired
	measure := func(address string, toPeer bool) func(error) {
		trip := meter.Begin(address, toPeer, clock.Now())
		return func(err error) {
			switch {
			case err == nil:
				meter.Completed(trip, clock.Now())
			case isTimeout(err):
				meter.TimedOut(trip, clock.Now())
			default:
				meter.Abandoned(trip)
			}
		}
	}
	g.adapters.Connections.OnDial = func(address string) func(error) { return measure(address, false) }
	g.clients.OnPing = func(address string) func(error) { return measure(address, true) }
}

// isAloneInHall reports whether no other gateway serves this one's hall, but some serve other halls.
func (g *Gateway) isAloneInHall() bool {
	self := g.members.Self()
	others := false
	for _, m := range g.members.All() {
		if m.Address == self.Address {
			continue
		}
		if m.Hall == self.Hall {
			return false
		}
		others = true
	}
	return others
}

// probeDelay pings a random peer while requests are limited, and there are too few other round trips
// to measure the delay of this process, or while no target can be connected to.
func (g *Gateway) probeDelay(d intake.Delay) {
	if !g.intake.Limiter.Limited() && (d.Overdue == 0 || d.Completed > 0) {
		return
	}
	members := g.members.List(clock.Now())
	peer := members[rand.IntN(len(members))]
	if peer.Address == g.members.Self().Address {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		_ = g.clients.Client(peer.Address).Ping(ctx) // its duration is measured
	}()
}

// isTimeout reports whether a connection or a call took too long.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded) || status.Code(err) == codes.DeadlineExceeded
}

// adjustIntake adjusts the limits of what this process takes in, and logs when they begin or end.
func (g *Gateway) adjustIntake(d intake.Delay, interval time.Duration) {
	window, change, err := g.intake.Adjust(d, interval)
	if err != nil {
		g.log.Warn("clients can't be accepted; trying again", "error", err.Error())
	}
	if limited := g.intake.Limiter.Limited(); g.diversion.Update(window, interval, limited, (limited || g.diversion.Active()) && g.isAloneInHall(), clock.Now()) {
		g.logDiversion(limited)
	}
	switch change {
	case intake.Began:
		g.logLimit("requests are limited: this process is delayed", d)
	case intake.Ended:
		g.logLimit("requests are no longer limited", d)
	}
}

// logDiversion logs that a diversion began or ended.
func (g *Gateway) logDiversion(limited bool) {
	if g.diversion.Active() {
		g.log.Warn("callers are diverted to other halls: this gateway is alone in its hall and refuses most of them")
		return
	}
	g.log.Info("callers are no longer diverted to other halls", "limited", limited)
}

// logLimit logs a change of the limit with the delay d that caused it.
func (g *Gateway) logLimit(message string, d intake.Delay) {
	limiter := g.intake.Limiter.Status()
	g.log.Warn(message, "limit", int(limiter.Limit), "in_progress", limiter.InProgress, "trips_ms", d.Trips.Milliseconds(), "completed", d.Completed, "overdue", d.Overdue, "timers_ms", d.Timers.Milliseconds(),
		"connections", g.connections.Open(), "closed_unread", g.intake.ClosedUnread(), "pauses", g.clientsListener.Pauses())
}
