// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package logging makes the loggers of a program: short sentences, with one
// fixed prefix for each part.
package logging

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"
	kratos "github.com/go-kratos/kratos/v2/log"
)

// Prefixes of the parts.
const (
	Fleet   = "fleet"
	Table   = "table"
	Claims  = "claims"
	Targets = "targets"
	Peers   = "peers"
	Callers = "callers"
	App     = "app"
	Admin   = "admin"
	Standin = "standin"
	Forward = "forward"
	Stages  = "stages"
	Catalog = "catalog"
	Members = "members"
	Crashes = "crashes"
	Rollout = "rollout"
	Advised = "advised"
)

// New makes a logger of a part; level is one of debug, info, warn and error.
func New(w io.Writer, level, prefix string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Prefix: prefix, Level: parsed, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000", Formatter: log.LogfmtFormatter,
	})
}

// bridge is a kratos logger that writes to ours.
type bridge struct{ to *log.Logger }

// Bridge passes the application framework's own messages on, as debug ones: it
// reports starts and stops, which the app part reports itself.
func Bridge(to *log.Logger) kratos.Logger { return bridge{to} }

// Log implements kratos' Logger.
func (b bridge) Log(level kratos.Level, keyvals ...any) error {
	if level >= kratos.LevelError {
		b.to.Error("Framework.", "message", fmt.Sprint(keyvals...))
		return nil
	}
	b.to.Debug("Framework.", "message", fmt.Sprint(keyvals...))
	return nil
}
