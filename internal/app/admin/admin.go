// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package admin assembles an admin process, which serves the operators' interface to the
// table and to the status of the fleet. The process keeps no state, so any number of them
// may run.
package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/logging"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/view"
	"github.com/hookhall/hookhall/internal/transport/callers"
	"github.com/hookhall/hookhall/internal/transport/keyvalue"
	"github.com/hookhall/hookhall/internal/transport/operators"
	"github.com/hookhall/hookhall/internal/transport/peers"
	"github.com/pkg/errors"
)

// probeTimeout bounds one heartbeat to an entry, so that an entry that does not
// answer delays a status report by no more than this.
const probeTimeout = time.Second

// Admin is one admin process.
type Admin struct {
	settings settings.Admin
	kv       *keyvalue.Client
	clients  *peers.Clients
	listener net.Listener
	app      *kratos.App
	started  time.Time
}

// New returns an admin that listens on its configured address; Run serves. It
// returns an error that names the setting if the address can't be opened.
func New(config settings.Admin, logTo io.Writer) (*Admin, error) {
	a := &Admin{settings: config, kv: keyvalue.New(config.Platform.KeyValue), clients: peers.NewClients(config.Fleet.Secret), started: clock.Now()}
	var err error
	if a.listener, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		return nil, errors.Wrap(err, "admin.listen")
	}
	logger := logging.New(logTo, config.Log.Level, logging.Admin)
	editor := tables.NewEditor(a.kv, a.clients, logger)
	tableHandlers := operators.NewTableHandler(editor, time.Duration(config.Admin.AcceptMS)*time.Millisecond)
	httpServer := khttp.NewServer(khttp.Listener(a.listener), khttp.Timeout(0))
	token := config.Admin.OperatorToken
	httpServer.HandleFunc(callers.PathHealth, callers.Health)
	httpServer.HandleFunc(operators.PathTable, operators.RequireToken(token, tableHandlers.Get))
	httpServer.HandleFunc(operators.PathEdits, operators.RequireToken(token, tableHandlers.Edit))
	httpServer.HandleFunc(operators.PathStatus, operators.RequireToken(token, operators.JSON(func(r *http.Request) any { return a.Status(r.Context()) })))
	httpServer.HandleFunc(operators.PathState, operators.RequireToken(token, operators.JSON(func(*http.Request) any { return a.State() })))
	a.app = kratos.New(kratos.Name("hookhall-admin"), kratos.Server(httpServer), kratos.Logger(logging.Bridge(logger)))
	logger.Info("Listening.", "operators", a.Address())
	return a, nil
}

// Address returns the IP:port at which operators reach the admin.
func (a *Admin) Address() string { return a.listener.Addr().String() }

// Run serves until SIGTERM or the end of ctx, and finishes edits in progress before
// it returns.
func (a *Admin) Run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = a.app.Stop() }) // Run returns the error
	err := a.app.Run()
	a.clients.Close()
	return errors.Wrap(err, "admin")
}

// State is the state dump of an admin. UpSeconds is the time since its start;
// ServiceCalls counts its calls to the key-value service.
type State struct {
	UpSeconds    float64 `json:"up_s"`
	ServiceCalls int64   `json:"service_calls"`
}

// State returns the current state of the admin.
func (a *Admin) State() State {
	return State{clock.Since(a.started).Seconds(), a.kv.Calls()}
}

// Status describes the fleet by the stored view and by a heartbeat to each member.
// TableVersion is the newest that a member reported. Error is set, and all other fields
// are empty, if the view can't be read.
type Status struct {
	Epoch        uint64            `json:"epoch"`
	TableVersion uint64            `json:"table_version"`
	Members      []MemberStatus    `json:"members"`
	Unfenced     []hookhall.Member `json:"unfenced,omitempty"`
	Error        string            `json:"error,omitempty"`
}

// MemberStatus describes one member of the view. Epoch and TableVersion are those
// of its heartbeat reply, 0 if Answers is false.
type MemberStatus struct {
	hookhall.Member
	Answers      bool   `json:"answers"`
	Epoch        uint64 `json:"epoch"`
	TableVersion uint64 `json:"table_version"`
}

// Status reads the view and probes all its members concurrently; it takes at most
// probeTimeout beyond the read of the view.
func (a *Admin) Status(ctx context.Context) Status {
	stored, err := a.kv.Get(ctx, tables.ViewKey)
	if err != nil {
		return Status{Error: err.Error()}
	}
	current, err := view.Decode(stored.Value)
	if err != nil {
		return Status{Error: err.Error()}
	}
	status := Status{Epoch: current.Epoch, Unfenced: current.Unfenced, Members: make([]MemberStatus, len(current.Members))}
	var wg sync.WaitGroup
	for i, m := range current.Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status.Members[i] = a.probe(ctx, m)
		}()
	}
	wg.Wait()
	sort.Slice(status.Members, func(i, j int) bool { return status.Members[i].ID < status.Members[j].ID })
	for _, m := range status.Members {
		status.TableVersion = max(status.TableVersion, m.TableVersion)
	}
	return status
}

// probe sends m one heartbeat and reports whether it answered within probeTimeout.
func (a *Admin) probe(ctx context.Context, m hookhall.Member) MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := a.clients.Peer(m.Address).Probe(ctx, hookhall.Probe{From: "admin"})
	return MemberStatus{Member: m, Answers: err == nil, Epoch: reply.Epoch, TableVersion: reply.TableVersion}
}
