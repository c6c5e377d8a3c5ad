// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package paths observes which targets this process can connect to.
package paths

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/reach"
)

// Meter counts connections to targets.
type Meter interface {
	// ConnectionFailed counts a direct connection to a target that failed.
	ConnectionFailed(kind string)
	// TargetsUnreachable sets the number of targets that this process can't connect to.
	TargetsUnreachable(n int)
}

// Paths records which targets this process can connect to. Its fields are set before use; it
// is safe for concurrent use.
type Paths struct {
	Table *reach.Table
	Meter Meter
	Log   *log.Logger
}

// Connect opens a connection to the target at address by direct.
func (p *Paths) Connect(ctx context.Context, address string, direct func(context.Context) (net.Conn, error)) (net.Conn, error) {
	c, err := direct(ctx)
	now := clock.Now()
	if err == nil {
		if lost, wasLost := p.Table.Connected(address, now); wasLost {
			p.Log.Info("target reachable again", "address", address, "lost", lost, "unreachable", p.Table.Count())
			p.Meter.TargetsUnreachable(p.Table.Count())
		}
		return c, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, err
	}
	failure := failureOf(err)
	p.Meter.ConnectionFailed(string(failure))
	if p.Table.Failed(address, failure, now) {
		p.Log.Warn("target can't be connected to from this gateway", "address", address, "kind", failure, "unreachable", p.Table.Count(), "error", err.Error())
		p.Meter.TargetsUnreachable(p.Table.Count())
	}
	return nil, err
}

// failureOf returns the kind of an error of a connection attempt.
func failureOf(err error) reach.Failure {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return reach.TimedOut
	}
	return reach.Reset
}
