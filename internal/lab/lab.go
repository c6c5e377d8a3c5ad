// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package lab runs a small fleet with stand-ins of its environment in one process, to
// compare policies and to measure how costs grow. It does not simulate: the entries are
// the product's own, and they communicate over loopback.
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

// HallCount is the number of halls of a lab. Entries, and the targets of each pool, are spread
// over them in turn.
const HallCount = 3

const (
	fleetSecret   = "the-fleet-secret"
	operatorToken = "the-operator-token"
	// editTimeout limits one call of Edit, readyTimeout one of AwaitReady or awaitVersion.
	editTimeout  = 10 * time.Second
	readyTimeout = 20 * time.Second
	// listLag is the time until a change of the instance list is visible.
	listLag = 50 * time.Millisecond
	// loopbackAddress lets the system choose a free port.
	loopbackAddress = "127.0.0.1:0"
)

// PoolSettings configures a pool of Count equal targets.
type PoolSettings struct {
	Name   string
	Count  int
	Target standin.TargetSettings
}

// Settings configures a lab.
type Settings struct {
	EntryCount int
	Pools      []PoolSettings
	Profile    load.Profile    // its edits make the first table
	ExtraEdits []hookhall.Edit // more edits of the first table
	// AdjustEntry, if set, changes the settings of entry i, from 0, before it starts.
	AdjustEntry func(i int, s *settings.Entry)
	Log         io.Writer // gets the logs of all entries; nil discards them
}

// Lab is a running fleet. Targets and Servers are by instance ID; Servers also holds those
// of the key-value service, "kv", and the instance list, "list".
type Lab struct {
	KeyValue  *standin.KeyValue
	Instances *standin.Instances
	Targets   map[string]*standin.Target
	Servers   map[string]*standin.Server
	Entries   []*entry.Entry
	Editor    *tables.Editor

	settings         Settings
	keyValueAddress  string
	listAddress      string
	clients          *peers.Clients
	stopEntries      []context.CancelFunc
	forceStop        context.CancelFunc
	forceStopContext context.Context
	wg               sync.WaitGroup
}

// Start starts a lab and returns once all entries are ready. On an error, it has stopped
// whatever had started.
func Start(s Settings) (*Lab, error) {
	if s.Log == nil {
		s.Log = io.Discard
	}
	lab := &Lab{
		KeyValue: standin.NewKeyValue(), Instances: standin.NewInstances(listLag),
		Targets: map[string]*standin.Target{}, Servers: map[string]*standin.Server{},
		settings: s, clients: peers.NewClients(fleetSecret),
	}
	lab.forceStopContext, lab.forceStop = context.WithCancel(context.Background())
	for _, step := range []func() error{lab.startPlatform, lab.startTargets, lab.writeTable, lab.startEntries, lab.AwaitReady} {
		if err := step(); err != nil {
			lab.Stop()
			return nil, err
		}
	}
	return lab, nil
}

// startPlatform starts the stand-ins of the key-value service and the instance list.
func (l *Lab) startPlatform() error {
	keyValue, err := standin.Listen(loopbackAddress, l.KeyValue)
	if err != nil {
		return err
	}
	list, err := standin.Listen(loopbackAddress, l.Instances)
	if err != nil {
		return err
	}
	l.Servers["kv"], l.Servers["list"] = keyValue, list
	l.keyValueAddress, l.listAddress = keyValue.Address, list.Address
	l.Editor = tables.NewEditor(keyvalue.New(keyValue.Address), l.clients, log.New(io.Discard))
	return nil
}

// startTargets starts the targets of all pools and puts them on the instance list.
func (l *Lab) startTargets() error {
	streamsByPool := l.settings.Profile.StreamsByPool()
	for _, pool := range l.settings.Pools {
		for i := 0; i < pool.Count; i++ {
			target := pool.Target
			target.ID = fmt.Sprintf("%s-%d", pool.Name, i)
			standIn := standin.NewTarget(target)
			server, err := standin.Listen(loopbackAddress, standIn)
			if err != nil {
				return err
			}
			l.Targets[target.ID], l.Servers[target.ID] = standIn, server
			l.Instances.Set(hookhall.Instance{
				ID: target.ID, Role: hookhall.RoleTarget, Pool: pool.Name, Address: server.Address,
				Hall: hallName(i), Streams: streamsByPool[pool.Name], State: hookhall.InstanceLive,
			})
		}
	}
	return nil
}

// hallName returns the hall of entry or target i.
func hallName(i int) string { return fmt.Sprintf("hall-%d", i%HallCount+1) }

// writeTable writes the first table, if there are edits for it.
func (l *Lab) writeTable() error {
	edits := append(l.settings.Profile.TableEdits(), l.settings.ExtraEdits...)
	if len(edits) == 0 {
		return nil
	}
	_, err := l.Edit("first", edits)
	return err
}

// Edit applies edits to the table. id identifies the operation, so that a retry of it is
// not applied twice.
func (l *Lab) Edit(id string, edits []hookhall.Edit) (tables.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	return l.Editor.Apply(ctx, id, edits)
}

// startEntries starts all entries and does not wait until they are ready.
func (l *Lab) startEntries() error {
	for i := 0; i < l.settings.EntryCount; i++ {
		if err := l.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// startEntry starts entry i and does not wait until it is ready.
func (l *Lab) startEntry(i int) error {
	entrySettings := settings.DefaultEntry()
	entrySettings.Entry = settings.EntrySection{
		Instance: fmt.Sprintf("entry-%d", i+1), Hall: hallName(i), Callers: loopbackAddress, Peers: loopbackAddress, OperatorToken: operatorToken, MemoryMB: entrySettings.Entry.MemoryMB,
	}
	entrySettings.Platform = settings.PlatformSection{KeyValue: l.keyValueAddress, Instances: l.listAddress}
	entrySettings.Fleet.Secret = fleetSecret
	entrySettings.Fleet.ListMS = 200
	entrySettings.Stop = settings.StopSection{NoticeMS: 0, GraceMS: 5000}
	entrySettings.Log.Level = "warn"
	if l.settings.AdjustEntry != nil {
		l.settings.AdjustEntry(i, &entrySettings)
	}
	started, err := entry.New(entrySettings, l.settings.Log)
	if err != nil {
		return err
	}
	l.Instances.Set(hookhall.Instance{
		ID: entrySettings.Entry.Instance, Role: hookhall.RoleEntry, Hall: entrySettings.Entry.Hall, Address: started.PeersAddress(), State: hookhall.InstanceLive,
	})
	ctx, stop := context.WithCancel(context.Background())
	l.Entries = append(l.Entries, started)
	l.stopEntries = append(l.stopEntries, stop)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		_ = started.Run(ctx, l.forceStopContext) // the entry logs its error
	}()
	return nil
}

// AwaitReady waits until every entry is ready, has all others in its view and misses no
// claims. It fails after readyTimeout.
func (l *Lab) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range l.Entries {
		for state := e.State(); !state.Ready || len(state.Members) < len(l.Entries) || state.Claims.Missing > 0; state = e.State() {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready: %d members, %d slots missing", state.Member.ID, len(state.Members), state.Claims.Missing)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// CallerAddresses returns the IP:port of each entry for callers.
func (l *Lab) CallerAddresses() []string {
	var addresses []string
	for _, e := range l.Entries {
		addresses = append(addresses, e.CallersAddress())
	}
	return addresses
}

// Ledger returns the runs of all targets, in no particular order.
func (l *Lab) Ledger() []standin.RunRecord {
	var runs []standin.RunRecord
	for _, t := range l.Targets {
		runs = append(runs, t.Ledger()...)
	}
	return runs
}

// Stop stops all entries at once, without their grace period, then the stand-ins.
func (l *Lab) Stop() {
	for _, stop := range l.stopEntries {
		stop()
	}
	l.forceStop()
	l.wg.Wait()
	l.clients.Close()
	for _, s := range l.Servers {
		s.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}
