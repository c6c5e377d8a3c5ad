// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package lab runs a small fleet with its stand-ins inside one process, for
// experiments and slopes. It is no simulator: the entries are the product's,
// and they talk over loopback.
package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/entry"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/transport/keyvalue"
	"github.com/hookhall/hookhall/internal/transport/peers"
	"github.com/pkg/errors"
)

// Halls of a lab.
const Halls = 3

const (
	secret   = "the-fleet-secret"
	token    = "the-operator-token"
	editTime = 10 * time.Second
	upTime   = 20 * time.Second
	listLag  = 50 * time.Millisecond
	loopback = "127.0.0.1:0"
)

// PoolSettings are a pool's targets.
type PoolSettings struct {
	Name   string
	Count  int
	Target standin.TargetSettings
}

// Settings are what a lab is made of.
type Settings struct {
	Entries int
	Pools   []PoolSettings
	Profile load.Profile
	Extra   []hookhall.Edit
	// Adjust changes an entry's settings, if set.
	Adjust func(i int, s *settings.Entry)
	Log    io.Writer
}

// Lab is a running fleet.
type Lab struct {
	KeyValue  *standin.KeyValue
	Instances *standin.Instances
	Targets   map[string]*standin.Target
	Servers   map[string]*standin.Server
	Entries   []*entry.Entry
	Editor    *tables.Editor

	settings Settings
	kvAt     string
	listAt   string
	clients  *peers.Clients
	stops    []context.CancelFunc
	force    context.CancelFunc
	forced   context.Context
	wg       sync.WaitGroup
}

// Start starts a lab and waits until all entries are ready.
func Start(s Settings) (*Lab, error) {
	if s.Log == nil {
		s.Log = io.Discard
	}
	l := &Lab{
		KeyValue: standin.NewKeyValue(), Instances: standin.NewInstances(listLag),
		Targets: map[string]*standin.Target{}, Servers: map[string]*standin.Server{},
		settings: s, clients: peers.NewClients(secret),
	}
	l.forced, l.force = context.WithCancel(context.Background())
	for _, step := range []func() error{l.startPlatform, l.startTargets, l.writeTable, l.startEntries, l.AwaitReady} {
		if err := step(); err != nil {
			l.Stop()
			return nil, err
		}
	}
	return l, nil
}

func (l *Lab) startPlatform() error {
	kv, err := standin.Listen(loopback, l.KeyValue)
	if err != nil {
		return err
	}
	list, err := standin.Listen(loopback, l.Instances)
	if err != nil {
		return err
	}
	l.Servers["kv"], l.Servers["list"] = kv, list
	l.kvAt, l.listAt = kv.Address, list.Address
	l.Editor = tables.NewEditor(keyvalue.New(kv.Address), l.clients, log.New(io.Discard))
	return nil
}

func (l *Lab) startTargets() error {
	streams := l.settings.Profile.Pools()
	for _, p := range l.settings.Pools {
		for i := 0; i < p.Count; i++ {
			s := p.Target
			s.ID = fmt.Sprintf("%s-%d", p.Name, i)
			t := standin.NewTarget(s)
			server, err := standin.Listen(loopback, t)
			if err != nil {
				return err
			}
			l.Targets[s.ID], l.Servers[s.ID] = t, server
			l.Instances.Set(hookhall.Instance{
				ID: s.ID, Role: hookhall.RoleTarget, Pool: p.Name, Address: server.Address,
				Hall: hall(i), Streams: streams[p.Name], State: hookhall.InstanceLive,
			})
		}
	}
	return nil
}

func hall(i int) string { return fmt.Sprintf("hall-%d", i%Halls+1) }

func (l *Lab) writeTable() error {
	edits := append(l.settings.Profile.Edits(), l.settings.Extra...)
	if len(edits) == 0 {
		return nil
	}
	_, err := l.Edit("first", edits)
	return err
}

// Edit applies edits.
func (l *Lab) Edit(id string, edits []hookhall.Edit) (tables.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editTime)
	defer cancel()
	return l.Editor.Apply(ctx, id, edits)
}

func (l *Lab) startEntries() error {
	for i := 0; i < l.settings.Entries; i++ {
		if err := l.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) startEntry(i int) error {
	s := settings.DefaultEntry()
	s.Entry = settings.EntryPart{
		Instance: fmt.Sprintf("entry-%d", i+1), Hall: hall(i), Callers: loopback, Peers: loopback, OperatorToken: token,
	}
	s.Platform = settings.PlatformPart{KeyValue: l.kvAt, Instances: l.listAt}
	s.Fleet.Secret = secret
	s.Fleet.ListMS = 200
	s.Stop = settings.StopPart{NoticeMS: 0, GraceMS: 5000}
	s.Log.Level = "warn"
	if l.settings.Adjust != nil {
		l.settings.Adjust(i, &s)
	}
	e, err := entry.New(s, l.settings.Log)
	if err != nil {
		return err
	}
	l.Instances.Set(hookhall.Instance{
		ID: s.Entry.Instance, Role: hookhall.RoleEntry, Hall: s.Entry.Hall, Address: e.Peers(), State: hookhall.InstanceLive,
	})
	ctx, stop := context.WithCancel(context.Background())
	l.Entries = append(l.Entries, e)
	l.stops = append(l.stops, stop)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		_ = e.Run(ctx, l.forced) // its log has the error
	}()
	return nil
}

// AwaitReady waits until every entry is ready and sees all the others.
func (l *Lab) AwaitReady() error {
	limit := time.Now().Add(upTime)
	for _, e := range l.Entries {
		for s := e.State(); !s.Ready || len(s.Members) < len(l.Entries) || s.Claims.Missing > 0; s = e.State() {
			if time.Now().After(limit) {
				return errors.Errorf("%s is not ready: %d members, %d slots missing", s.Member.ID, len(s.Members), s.Claims.Missing)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Addresses are where callers reach the entries.
func (l *Lab) Addresses() []string {
	var a []string
	for _, e := range l.Entries {
		a = append(a, e.Callers())
	}
	return a
}

// Ledger is all targets' runs.
func (l *Lab) Ledger() []standin.Run {
	var all []standin.Run
	for _, t := range l.Targets {
		all = append(all, t.Ledger()...)
	}
	return all
}

// Stop ends everything.
func (l *Lab) Stop() {
	for _, stop := range l.stops {
		stop()
	}
	l.force()
	l.wg.Wait()
	l.clients.Close()
	for _, s := range l.Servers {
		s.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}
