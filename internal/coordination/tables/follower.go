// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/follow"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/table"
	"github.com/pkg/errors"
)

// Keys of the table in the key-value service.
const (
	RootKey     = "hookhall/table/root"
	chunkPrefix = "hookhall/table/chunk/"
)

// readTime bounds reading a table.
const readTime = 3 * time.Second

// InForce is the table as the request path reads it.
type InForce struct {
	Document *table.Document
	Snapshot *table.Snapshot
	// Since is when this process put it in force.
	Since time.Time
}

// Keeper follows the table.
type Keeper struct {
	kv  hookhall.KeyValue
	log *log.Logger

	current atomic.Pointer[InForce]
	ready   atomic.Bool
	// adopting serializes adopt; readers never take it.
	adopting sync.Mutex
	pulling  atomic.Bool
}

// NewKeeper makes a Keeper with the empty table, not ready.
func NewKeeper(kv hookhall.KeyValue, l *log.Logger) *Keeper {
	k := &Keeper{kv: kv, log: l}
	empty := table.Empty()
	s, err := table.Compile(empty)
	if err != nil {
		panic(err) // the empty table compiles
	}
	k.current.Store(&InForce{Document: empty, Snapshot: s})
	return k
}

// Current returns the table in force.
func (k *Keeper) Current() *InForce { return k.current.Load() }

// Version returns the version in force.
func (k *Keeper) Version() uint64 { return k.Current().Snapshot.Version }

// Ready tells whether the version in force has been confirmed.
func (k *Keeper) Ready() bool { return k.ready.Load() }

// Run follows the root until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	use := func(e hookhall.Entry) error { return k.follow(ctx, e) }
	follow.Key(ctx, k.kv, RootKey, use, func(err error) {
		k.log.Warn("Can't read the table.", "error", err.Error())
	})
}

// follow adopts the root e; it is confirmed by the service.
func (k *Keeper) follow(ctx context.Context, e hookhall.Entry) error {
	root, err := table.DecodeRoot(e.Value)
	if err != nil {
		return err
	}
	if root.Version > k.Version() {
		doc, err := k.read(ctx, root)
		if err != nil {
			return err
		}
		if err := k.adopt(doc, "service"); err != nil {
			return err
		}
	}
	k.ready.Store(true)
	return nil
}

// read gets the chunks of a root, from the document in force where it can.
func (k *Keeper) read(ctx context.Context, root table.Root) (*table.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	old := k.Current().Document
	return assemble(ctx, k.kv, root, old)
}

// assemble reads a root's chunks, leaving out those that old has.
func assemble(ctx context.Context, kv hookhall.KeyValue, root table.Root, old *table.Document) (*table.Document, error) {
	var failed error
	doc, err := table.Assemble(root, func(name string) []byte {
		if b := old.ChunkNamed(name); b != nil || failed != nil {
			return b
		}
		e, err := kv.Get(ctx, chunkPrefix+name)
		failed = err
		return e.Value
	})
	if failed != nil {
		return nil, failed
	}
	return doc, err
}

// adopt puts a newer document in force; an older one is ignored.
func (k *Keeper) adopt(doc *table.Document, from string) error {
	snapshot, err := table.Compile(doc)
	if err != nil {
		return errors.Wrap(err, "table refused")
	}
	k.adopting.Lock()
	defer k.adopting.Unlock()
	if snapshot.Version <= k.Version() {
		return nil
	}
	k.current.Store(&InForce{doc, snapshot, clock.Now()})
	k.log.Info("Table in force.", "version", snapshot.Version, "from", from)
	return nil
}

// Offer takes in a table that a peer sent.
func (k *Keeper) Offer(d hookhall.TableDocument) error {
	root, err := table.DecodeRoot(d.Root)
	if err != nil {
		return err
	}
	if root.Version <= k.Version() {
		return nil
	}
	byHash := map[string][]byte{}
	for _, c := range d.Chunks {
		byHash[table.HashOf(c)] = c
	}
	old := k.Current().Document
	doc, err := table.Assemble(root, func(name string) []byte {
		if c := byHash[table.HashIn(name)]; c != nil {
			return c
		}
		return old.ChunkNamed(name)
	})
	if err != nil {
		return err
	}
	return k.adopt(doc, "peer")
}

// Hint says that a peer has a version; if it is newer it is pulled, one pull
// at a time and not on the caller's time.
func (k *Keeper) Hint(ctx context.Context, version uint64, peer hookhall.Peer) {
	if version <= k.Version() || !k.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer k.pulling.Store(false)
		if err := k.Pull(ctx, peer); err != nil {
			k.log.Warn("Can't read the table from a peer.", "error", err.Error())
		}
	}()
}

// Pull reads a peer's table.
func (k *Keeper) Pull(ctx context.Context, peer hookhall.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	d, err := peer.Table(ctx, k.Version())
	if err != nil {
		return err
	}
	return k.Offer(d)
}

// ConfirmByPeers makes the Keeper ready without the service, if more than half
// of peers answer; the newest version among them is in force then.
func (k *Keeper) ConfirmByPeers(ctx context.Context, peers []hookhall.Peer) bool {
	answered := 0
	for _, p := range peers {
		if k.Pull(ctx, p) == nil {
			answered++
		}
	}
	if answered*2 <= len(peers) || k.Version() == 0 {
		return false
	}
	k.ready.Store(true)
	return true
}

// Serve answers a peer that has an older version: with the chunks it lacks,
// as far as the root it has is unknown, all of them.
func (k *Keeper) Serve(have uint64) hookhall.TableDocument {
	f := k.Current()
	d := hookhall.TableDocument{Version: f.Snapshot.Version}
	if have >= d.Version {
		return d
	}
	d.Root = f.Document.EncodeRoot()
	for i, name := range f.Document.Root.Chunks {
		if name != "" && table.VersionIn(name) > have {
			d.Chunks = append(d.Chunks, f.Document.Chunk(i))
		}
	}
	return d
}
