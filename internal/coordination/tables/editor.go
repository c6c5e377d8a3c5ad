// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package tables

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/table"
	"github.com/hookhall/hookhall/internal/state/view"
	"github.com/pkg/errors"
)

// ViewKey is the key of the fleet's view in the key-value service. The editor
// reads the view to find the entries of each hall.
const ViewKey = "hookhall/view"

const (
	// confirmInterval is the pause between two probes of a hall's entries.
	confirmInterval = 15 * time.Millisecond
	// probeTimeout bounds one probe of an entry.
	probeTimeout = 500 * time.Millisecond
	// reachTimeout is how long the entries of a hall are probed without an answer
	// before the hall is reported as unreachable.
	reachTimeout = 1500 * time.Millisecond
)

// Outcome is the result of an accepted edit.
type Outcome struct {
	// Version is the table version that contains the edit.
	Version uint64 `json:"version"`
	// EntryByHall maps a hall to the ID of an entry there that has the version in
	// force.
	EntryByHall map[string]string `json:"in_force"`
	// Unreachable lists the halls in which no entry answered. Their entries adopt
	// the version as soon as they reach the service or a peer.
	Unreachable []string `json:"out_of_reach,omitempty"`
}

// ErrOutcomeUnknown is returned when it is unknown whether an edit is in force.
// Calling Apply again with the same id is safe and settles the question.
var ErrOutcomeUnknown = errors.New("the edit may or may not be in force; send it again with the same id")

// Editor changes the table in the key-value service. Its only state is a cache,
// so any number of editors may work at once.
type Editor struct {
	kv    hookhall.KeyValue
	peers hookhall.Peers
	log   *log.Logger
	// lastRead is the last document read; its chunks are not fetched again.
	lastRead atomic.Pointer[table.Document]
}

// NewEditor returns an Editor with an empty cache.
func NewEditor(kv hookhall.KeyValue, peers hookhall.Peers, logger *log.Logger) *Editor {
	e := &Editor{kv: kv, peers: peers, log: logger}
	e.lastRead.Store(table.Empty())
	return e
}

// Read returns the table stored in the key-value service and the index of its
// root, for a later compare-and-swap.
func (e *Editor) Read(ctx context.Context) (*table.Document, uint64, error) {
	entry, err := e.kv.Get(ctx, RootKey)
	if err != nil {
		return nil, 0, err
	}
	root, err := table.DecodeRoot(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	doc, err := readChunks(ctx, e.kv, root, e.lastRead.Load())
	if err != nil {
		return nil, 0, err
	}
	e.lastRead.Store(doc)
	return doc, entry.Index, nil
}

// Apply puts all of the edits in force, or none. Edits whose id the root still
// records as applied are not applied again, only confirmed. Apply retries until ctx
// ends and then returns ErrOutcomeUnknown, or hookhall.ErrUnavailable if the
// table was certainly not changed.
func (e *Editor) Apply(ctx context.Context, id string, edits []hookhall.Edit) (Outcome, error) {
	version, err := e.writeEdits(ctx, id, edits)
	if err != nil {
		return Outcome{}, err
	}
	return e.confirm(ctx, version)
}

// writeEdits stores the edits, retrying until ctx ends, and returns the version
// that contains them. Once the result of a swap is unknown it ends with
// ErrOutcomeUnknown instead of hookhall.ErrUnavailable.
func (e *Editor) writeEdits(ctx context.Context, id string, edits []hookhall.Edit) (uint64, error) {
	backoff := retry.New()
	anyUnknown := false
	for {
		version, unknown, err := e.tryWriteEdits(ctx, id, edits)
		if version > 0 {
			return version, nil
		}
		anyUnknown = anyUnknown || unknown
		if err != nil && !errors.Is(err, hookhall.ErrUnavailable) {
			return 0, err
		}
		if err != nil {
			e.log.Warn("key-value service unavailable", "edit", id, "error", err.Error())
			backoff.Wait(ctx)
		}
		if ctx.Err() == nil {
			continue
		}
		if anyUnknown {
			return 0, ErrOutcomeUnknown
		}
		return 0, errors.Wrap(hookhall.ErrUnavailable, "nothing was changed")
	}
}

// tryWriteEdits makes one attempt to store the edits. version is 0 if they were
// not stored; sent is true if a swap was sent and its result is unknown.
func (e *Editor) tryWriteEdits(ctx context.Context, id string, edits []hookhall.Edit) (version uint64, sent bool, err error) {
	doc, index, err := e.Read(ctx)
	if err != nil {
		return 0, false, err
	}
	if applied := doc.Root.AppliedVersion(id); applied > 0 {
		return applied, false, nil
	}
	next, err := doc.Apply(id, edits)
	if err != nil {
		return 0, false, err
	}
	if err := e.writeChunks(ctx, doc, next); err != nil {
		return 0, false, err
	}
	swapped, err := e.kv.CompareAndSwap(ctx, RootKey, next.EncodeRoot(), index)
	if err != nil || !swapped {
		return 0, err != nil, err
	}
	for _, name := range doc.ObsoleteChunks(next) {
		if err := e.kv.Delete(ctx, chunkPrefix+name); err != nil {
			e.log.Warn("obsolete chunk not deleted", "chunk", name, "error", err.Error())
		}
	}
	return next.Root.Version, true, nil
}

// writeChunks stores the chunks of next that old doesn't have.
func (e *Editor) writeChunks(ctx context.Context, old, next *table.Document) error {
	for i, name := range next.Root.Chunks {
		if name == "" || name == old.Root.Chunks[i] {
			continue
		}
		// The name contains the hash of the content, so a chunk that exists
		// already is the same one and the failed swap is no error.
		if _, err := e.kv.CompareAndSwap(ctx, chunkPrefix+name, next.Chunk(i), 0); err != nil {
			return err
		}
	}
	return nil
}

// confirm waits until one entry in each hall has the version in force, and lists
// the halls where no entry answers as unreachable. It returns ErrOutcomeUnknown if the
// view can't be read or no hall confirmed.
func (e *Editor) confirm(ctx context.Context, version uint64) (Outcome, error) {
	outcome := Outcome{Version: version, EntryByHall: map[string]string{}}
	entry, err := e.kv.Get(ctx, ViewKey)
	if err != nil {
		return outcome, ErrOutcomeUnknown
	}
	fleetView, err := view.Decode(entry.Value)
	if err != nil {
		return outcome, err
	}
	halls := map[string][]hookhall.Member{}
	for _, member := range fleetView.Members {
		halls[member.Hall] = append(halls[member.Hall], member)
	}
	type confirmation struct{ hall, member string }
	results := make(chan confirmation, len(halls))
	for hall, members := range halls {
		go func() { results <- confirmation{hall, e.confirmHall(ctx, version, members)} }()
	}
	for range halls {
		result := <-results
		if result.member == "" {
			outcome.Unreachable = append(outcome.Unreachable, result.hall)
		} else {
			outcome.EntryByHall[result.hall] = result.member
		}
	}
	if len(halls) > 0 && len(outcome.EntryByHall) == 0 {
		return outcome, ErrOutcomeUnknown
	}
	return outcome, nil
}

// confirmHall probes the entries of a hall in turn and returns the ID of the first
// that has the version in force. It returns "" when a probe fails after
// reachTimeout, or when ctx ends; as long as probes are answered it goes on.
func (e *Editor) confirmHall(ctx context.Context, version uint64, members []hookhall.Member) string {
	reachDeadline := clock.Now().Add(reachTimeout)
	for i := 0; ctx.Err() == nil; i++ {
		member := members[i%len(members)]
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		reply, err := e.peers.Peer(member.Address).Probe(probeCtx, hookhall.Probe{From: "admin", TableVersion: version})
		cancel()
		switch {
		case err == nil && reply.TableVersion >= version:
			return member.ID
		case err != nil && clock.Now().After(reachDeadline):
			return ""
		}
		retry.Sleep(ctx, confirmInterval)
	}
	return ""
}
