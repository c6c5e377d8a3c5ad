// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package admin puts an admin process together: the operators' interface to
// the table. It keeps nothing; any number of them may run.
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

// probeTime bounds one ask of an entry.
const probeTime = time.Second

// Admin is one admin process.
type Admin struct {
	settings settings.Admin
	kv       *keyvalue.Client
	clients  *peers.Clients
	at       net.Listener
	app      *kratos.App
	started  time.Time
}

// New makes an admin and begins to listen.
func New(s settings.Admin, logTo io.Writer) (*Admin, error) {
	a := &Admin{settings: s, kv: keyvalue.New(s.Platform.KeyValue), clients: peers.NewClients(s.Fleet.Secret), started: clock.Now()}
	var err error
	if a.at, err = net.Listen("tcp", s.Admin.Listen); err != nil {
		return nil, errors.Wrap(err, "admin.listen")
	}
	l := logging.New(logTo, s.Log.Level, logging.Admin)
	editor := tables.NewEditor(a.kv, a.clients, l)
	t := operators.NewTables(editor, time.Duration(s.Admin.AcceptMS)*time.Millisecond)
	hs := khttp.NewServer(khttp.Listener(a.at), khttp.Timeout(0))
	token := s.Admin.OperatorToken
	hs.HandleFunc(callers.PathHealth, callers.Health)
	hs.HandleFunc(operators.PathTable, operators.Guard(token, t.Get))
	hs.HandleFunc(operators.PathEdits, operators.Guard(token, t.Edit))
	hs.HandleFunc(operators.PathStatus, operators.Guard(token, operators.JSON(func(r *http.Request) any { return a.Status(r.Context()) })))
	hs.HandleFunc(operators.PathState, operators.Guard(token, operators.JSON(func(*http.Request) any { return a.State() })))
	a.app = kratos.New(kratos.Name("hookhall-admin"), kratos.Server(hs), kratos.Logger(logging.Bridge(l)))
	l.Info("Listening.", "operators", a.Address())
	return a, nil
}

// Address is where operators reach it.
func (a *Admin) Address() string { return a.at.Addr().String() }

// Run serves until SIGTERM; edits in progress are finished first.
func (a *Admin) Run(ctx context.Context) error {
	context.AfterFunc(ctx, func() { _ = a.app.Stop() }) // Run returns its error
	err := a.app.Run()
	a.clients.Close()
	return errors.Wrap(err, "admin")
}

// State is an admin's dump.
type State struct {
	UpSeconds    float64 `json:"up_s"`
	ServiceCalls int64   `json:"service_calls"`
}

// State reads the admin's state.
func (a *Admin) State() State {
	return State{clock.Since(a.started).Seconds(), a.kv.Calls()}
}

// Status is the fleet as the view and a heartbeat to each member show it.
type Status struct {
	Epoch    uint64            `json:"epoch"`
	Version  uint64            `json:"table_version"`
	Members  []MemberStatus    `json:"members"`
	Unfenced []hookhall.Member `json:"unfenced,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// MemberStatus is one member.
type MemberStatus struct {
	hookhall.Member
	Answers      bool   `json:"answers"`
	Epoch        uint64 `json:"epoch"`
	TableVersion uint64 `json:"table_version"`
}

// Status asks every member.
func (a *Admin) Status(ctx context.Context) Status {
	entry, err := a.kv.Get(ctx, tables.ViewKey)
	if err != nil {
		return Status{Error: err.Error()}
	}
	v, err := view.Decode(entry.Value)
	if err != nil {
		return Status{Error: err.Error()}
	}
	s := Status{Epoch: v.Epoch, Unfenced: v.Unfenced, Members: make([]MemberStatus, len(v.Members))}
	var wg sync.WaitGroup
	for i, m := range v.Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Members[i] = a.ask(ctx, m)
		}()
	}
	wg.Wait()
	sort.Slice(s.Members, func(i, j int) bool { return s.Members[i].ID < s.Members[j].ID })
	for _, m := range s.Members {
		s.Version = max(s.Version, m.TableVersion)
	}
	return s
}

func (a *Admin) ask(ctx context.Context, m hookhall.Member) MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	r, err := a.clients.Peer(m.Address).Probe(ctx, hookhall.Probe{From: "admin"})
	return MemberStatus{Member: m, Answers: err == nil, Epoch: r.Epoch, TableVersion: r.TableVersion}
}
