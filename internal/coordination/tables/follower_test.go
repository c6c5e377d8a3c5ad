// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/table"
	"github.com/pkg/errors"
)

// memoryKeyValue is a key-value service with a single entry, whose first reads can
// be made to fail.
type memoryKeyValue struct {
	entry    hookhall.KeyValueEntry
	failures int // number of calls of Get that still fail
}

func (m *memoryKeyValue) Get(context.Context, string) (hookhall.KeyValueEntry, error) {
	if m.failures > 0 {
		m.failures--
		return hookhall.KeyValueEntry{}, errors.Wrap(hookhall.ErrUnavailable, "injected")
	}
	return m.entry, nil
}

func (m *memoryKeyValue) CompareAndSwap(context.Context, string, []byte, uint64) (bool, error) {
	return false, hookhall.ErrUnavailable
}

func (m *memoryKeyValue) Delete(context.Context, string) error { return hookhall.ErrUnavailable }

func (m *memoryKeyValue) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (hookhall.KeyValueEntry, error) {
	select {
	case <-ctx.Done():
		return hookhall.KeyValueEntry{}, ctx.Err()
	case <-time.After(wait):
		return m.entry, nil
	}
}

// TestFollowerReadyWithEmptyTable checks that an entry of a fleet without any table becomes
// ready within seconds. An entry that watches the missing root without reading it first
// would not be ready before the first edit.
func TestFollowerReadyWithEmptyTable(t *testing.T) {
	for _, fail := range []int{0, 3} {
		synctest.Test(t, func(t *testing.T) {
			follower := NewFollower(&memoryKeyValue{failures: fail}, log.New(io.Discard))
			go follower.Run(t.Context())
			began := time.Now()
			for !follower.Ready() {
				time.Sleep(time.Millisecond)
			}
			if took := time.Since(began); took > 5*time.Second {
				t.Fatalf("ready after %v with %d failures", took, fail)
			}
		})
	}
}

// TestFollowerIgnoresOlderTables checks that neither a stale read of the service nor a lagging
// peer replaces the table in force by an older one.
func TestFollowerIgnoresOlderTables(t *testing.T) {
	edit := func(d *table.Document, value string) *table.Document {
		n, err := d.Apply(value, []hookhall.Edit{{Sheet: hookhall.SheetAccounts, Row: "a", Column: "rate", Value: value, Force: true}})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	one := edit(table.Empty(), "1")
	two := edit(one, "2")
	document := func(d *table.Document) hookhall.TableDocument {
		follower := NewFollower(nil, log.New(io.Discard))
		if err := follower.adopt(d, "test"); err != nil {
			t.Fatal(err)
		}
		return follower.DocumentSince(0)
	}
	follower := NewFollower(&memoryKeyValue{}, log.New(io.Discard))
	for _, offer := range []hookhall.TableDocument{document(one), document(two), document(one)} {
		if err := follower.AdoptFromPeer(offer); err != nil {
			t.Fatal(err)
		}
	}
	if err := follower.adoptRoot(t.Context(), hookhall.KeyValueEntry{Value: one.EncodeRoot(), Index: 1}); err != nil {
		t.Fatal(err)
	}
	if follower.Version() != 2 {
		t.Fatalf("version %d in force after an older one was offered and read, want 2", follower.Version())
	}
	if len(follower.DocumentSince(1).Chunks) != 1 || len(follower.DocumentSince(2).Chunks) != 0 {
		t.Fatal("a peer must get the chunks that it lacks and no others")
	}
}
