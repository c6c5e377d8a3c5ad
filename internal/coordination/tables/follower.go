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

// Keys of the table in the key-value service: of its root, and of a chunk as
// chunkPrefix followed by the name of the chunk.
const (
	RootKey     = "hookhall/table/root"
	chunkPrefix = "hookhall/table/chunk/"
)

// readTimeout bounds the reading of one table, with all of its chunks, from the
// service or from a peer.
const readTimeout = 3 * time.Second

// ActiveTable is the version of the table that requests are served with.
type ActiveTable struct {
	Document *table.Document
	Snapshot *table.Snapshot
	// Since is when this process adopted the version; zero for the empty table
	// that it starts with.
	Since time.Time
}

// Follower keeps an entry's copy of the table up to date. Its methods are safe for
// concurrent use.
type Follower struct {
	kv  hookhall.KeyValue
	log *log.Logger

	current atomic.Pointer[ActiveTable]
	ready   atomic.Bool
	// adoptMu serializes adopt; readers never take it.
	adoptMu sync.Mutex
	// pulling is true while a pull started by PullIfNewer runs.
	pulling atomic.Bool
}

// NewFollower returns a Follower that has the empty table and is not ready.
func NewFollower(kv hookhall.KeyValue, logger *log.Logger) *Follower {
	f := &Follower{kv: kv, log: logger}
	empty := table.Empty()
	snapshot, err := table.Compile(empty)
	if err != nil {
		panic(err) // the empty table compiles
	}
	f.current.Store(&ActiveTable{Document: empty, Snapshot: snapshot})
	return f
}

// Current returns the table in force.
func (f *Follower) Current() *ActiveTable { return f.current.Load() }

// Version returns the version in force.
func (f *Follower) Version() uint64 { return f.Current().Snapshot.Version }

// Ready reports whether the version in force was confirmed since the start, by
// the key-value service or by more than half of the asked peers.
func (f *Follower) Ready() bool { return f.ready.Load() }

// Run watches the root in the key-value service and adopts newer versions until
// ctx ends.
func (f *Follower) Run(ctx context.Context) {
	use := func(e hookhall.KeyValueEntry) error { return f.adoptRoot(ctx, e) }
	follow.Key(ctx, f.kv, RootKey, use, func(err error) {
		f.log.Warn("table read failed", "error", err.Error())
	})
}

// adoptRoot adopts the table whose root the service returned as e, if it is newer,
// and marks the Follower ready.
func (f *Follower) adoptRoot(ctx context.Context, e hookhall.KeyValueEntry) error {
	root, err := table.DecodeRoot(e.Value)
	if err != nil {
		return err
	}
	if root.Version > f.Version() {
		doc, err := f.readDocument(ctx, root)
		if err != nil {
			return err
		}
		if err := f.adopt(doc, "service"); err != nil {
			return err
		}
	}
	f.ready.Store(true)
	return nil
}

// readDocument reads the document of a root. Chunks that the document in force has
// are not read again.
func (f *Follower) readDocument(ctx context.Context, root table.Root) (*table.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	old := f.Current().Document
	return readChunks(ctx, f.kv, root, old)
}

// readChunks reads the chunks of a root that old doesn't have, and returns the
// document.
func readChunks(ctx context.Context, kv hookhall.KeyValue, root table.Root, old *table.Document) (*table.Document, error) {
	var failed error
	doc, err := table.Assemble(root, func(name string) []byte {
		if chunk := old.ChunkNamed(name); chunk != nil || failed != nil {
			return chunk
		}
		entry, err := kv.Get(ctx, chunkPrefix+name)
		failed = err
		return entry.Value
	})
	if failed != nil {
		return nil, failed
	}
	return doc, err
}

// adopt puts a document in force. One that is not newer is ignored; one that
// doesn't compile is an error. from names its source in the log.
func (f *Follower) adopt(doc *table.Document, from string) error {
	snapshot, err := table.Compile(doc)
	if err != nil {
		return errors.Wrap(err, "compile table")
	}
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	if snapshot.Version <= f.Version() {
		return nil
	}
	f.current.Store(&ActiveTable{doc, snapshot, clock.Now()})
	f.log.Info("table in force", "version", snapshot.Version, "from", from)
	return nil
}

// AdoptFromPeer adopts a table sent by a peer if it is newer. Its chunks may
// leave out those that the document in force has.
func (f *Follower) AdoptFromPeer(received hookhall.TableDocument) error {
	root, err := table.DecodeRoot(received.Root)
	if err != nil {
		return err
	}
	if root.Version <= f.Version() {
		return nil
	}
	chunksByHash := map[string][]byte{}
	for _, chunk := range received.Chunks {
		chunksByHash[table.ContentHash(chunk)] = chunk
	}
	old := f.Current().Document
	doc, err := table.Assemble(root, func(name string) []byte {
		if chunk := chunksByHash[table.HashFromName(name)]; chunk != nil {
			return chunk
		}
		return old.ChunkNamed(name)
	})
	if err != nil {
		return err
	}
	return f.adopt(doc, "peer")
}

// PullIfNewer starts to read the table from a peer that reported a newer
// version. It returns at once, and does nothing while an earlier read runs.
func (f *Follower) PullIfNewer(ctx context.Context, version uint64, peer hookhall.Peer) {
	if version <= f.Version() || !f.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.pulling.Store(false)
		if err := f.Pull(ctx, peer); err != nil {
			f.log.Warn("table read from peer failed", "error", err.Error())
		}
	}()
}

// Pull reads the table of a peer and adopts it if it is newer.
func (f *Follower) Pull(ctx context.Context, peer hookhall.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	received, err := peer.Table(ctx, f.Version())
	if err != nil {
		return err
	}
	return f.AdoptFromPeer(received)
}

// ConfirmByPeers reads the tables of the peers and adopts the newest. It marks the
// Follower ready, without the key-value service, and returns true if more than half
// of the peers answered and there is a table that is not empty.
func (f *Follower) ConfirmByPeers(ctx context.Context, peers []hookhall.Peer) bool {
	answers := 0
	for _, peer := range peers {
		if f.Pull(ctx, peer) == nil {
			answers++
		}
	}
	if answers*2 <= len(peers) || f.Version() == 0 {
		return false
	}
	f.ready.Store(true)
	return true
}

// DocumentSince returns the table in force for a peer that has version have: the
// root and the chunks written after have. It returns the version alone if the peer's
// is not older. With have 0 it returns all chunks.
func (f *Follower) DocumentSince(have uint64) hookhall.TableDocument {
	current := f.Current()
	reply := hookhall.TableDocument{Version: current.Snapshot.Version}
	if have >= reply.Version {
		return reply
	}
	reply.Root = current.Document.EncodeRoot()
	for i, name := range current.Document.Root.Chunks {
		if name != "" && table.VersionFromName(name) > have {
			reply.Chunks = append(reply.Chunks, current.Document.Chunk(i))
		}
	}
	return reply
}
