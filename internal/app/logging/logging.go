// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package logging makes the loggers of a program, with one fixed prefix for each
// component, and a writer that never blocks.
package logging

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"
	kratos "github.com/go-kratos/kratos/v2/log"
)

// Prefixes of the log lines of the components.
const (
	Fleet      = "fleet"
	Table      = "table"
	Claims     = "claims"
	Targets    = "targets"
	Peers      = "peers"
	Callers    = "callers"
	App        = "app"
	Admin      = "admin"
	Standin    = "standin"
	Forward    = "forward"
	Stages     = "stages"
	Placement  = "placement"
	Catalog    = "catalog"
	Members    = "members"
	Crashes    = "crashes"
	Rollout    = "rollout"
	Advisories = "advised"
	Paths      = "paths"
	Bindings   = "bindings"
)

// New returns a logger that writes lines in logfmt to w, with the given prefix. level
// is debug, info, warn or error; any other value means info.
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

// bridge implements the application framework's Logger by a *log.Logger.
type bridge struct{ logger *log.Logger }

// Bridge returns a logger for the application framework that passes messages on to the
// given one: errors as errors, all others at the level debug, because the framework logs
// starts and stops, which the programs log themselves.
func Bridge(to *log.Logger) kratos.Logger { return bridge{to} }

// Log implements the framework's Logger. It never returns an error.
func (b bridge) Log(level kratos.Level, keyvals ...any) error {
	if level >= kratos.LevelError {
		b.logger.Error("Framework.", "message", fmt.Sprint(keyvals...))
		return nil
	}
	b.logger.Debug("Framework.", "message", fmt.Sprint(keyvals...))
	return nil
}
