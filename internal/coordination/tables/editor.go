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

// ViewKey is where the view lives; the editor reads it to find the halls.
const ViewKey = "hookhall/view"

const (
	// confirmPause is between asks whether an entry has a version in force.
	confirmPause = 15 * time.Millisecond
	// probeTime bounds one ask.
	probeTime = 500 * time.Millisecond
	// reachTime is how long a hall's entries are tried before the hall counts
	// as out of reach.
	reachTime = 1500 * time.Millisecond
)

// Outcome is what became of an edit.
type Outcome struct {
	Version uint64 `json:"version"`
	// InForce has, per hall, an entry that has the version in force.
	InForce map[string]string `json:"in_force"`
	// OutOfReach are halls where no entry answered; they follow when they can.
	OutOfReach []string `json:"out_of_reach,omitempty"`
}

// ErrUnsettled says that an edit may or may not be in force. Asking again with
// the same id settles it.
var ErrUnsettled = errors.New("the edit may or may not be in force; send it again with the same id")

// Editor changes the table. It keeps nothing but a cache.
type Editor struct {
	kv    hookhall.KeyValue
	peers hookhall.Peers
	log   *log.Logger
	// last is the document read last: chunks that it has are not read again.
	last atomic.Pointer[table.Document]
}

// NewEditor makes an Editor.
func NewEditor(kv hookhall.KeyValue, peers hookhall.Peers, l *log.Logger) *Editor {
	e := &Editor{kv: kv, peers: peers, log: l}
	e.last.Store(table.Empty())
	return e
}

// Read returns the table as the service holds it.
func (e *Editor) Read(ctx context.Context) (*table.Document, uint64, error) {
	entry, err := e.kv.Get(ctx, RootKey)
	if err != nil {
		return nil, 0, err
	}
	root, err := table.DecodeRoot(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	doc, err := assemble(ctx, e.kv, root, e.last.Load())
	if err != nil {
		return nil, 0, err
	}
	e.last.Store(doc)
	return doc, entry.Index, nil
}

// Apply puts edits in force, all or none, once per id: an id that is in force
// already is only confirmed. It tries until ctx ends.
func (e *Editor) Apply(ctx context.Context, id string, edits []hookhall.Edit) (Outcome, error) {
	version, err := e.write(ctx, id, edits)
	if err != nil {
		return Outcome{}, err
	}
	return e.confirm(ctx, version)
}

// write swaps the root. Once a swap was sent, an error without knowledge of
// its outcome is ErrUnsettled.
func (e *Editor) write(ctx context.Context, id string, edits []hookhall.Edit) (uint64, error) {
	pause := retry.New()
	sent := false
	for {
		version, swapped, err := e.tryWrite(ctx, id, edits)
		if version > 0 {
			return version, nil
		}
		sent = sent || swapped
		if err != nil && !errors.Is(err, hookhall.ErrUnavailable) {
			return 0, err
		}
		if err != nil {
			e.log.Warn("The service did not answer.", "edit", id, "error", err.Error())
			pause.Wait(ctx)
		}
		if ctx.Err() == nil {
			continue
		}
		if sent {
			return 0, ErrUnsettled
		}
		return 0, errors.Wrap(hookhall.ErrUnavailable, "nothing was changed")
	}
}

// tryWrite makes one attempt. sent is set once the swap may have gone out.
func (e *Editor) tryWrite(ctx context.Context, id string, edits []hookhall.Edit) (version uint64, sent bool, err error) {
	doc, index, err := e.Read(ctx)
	if err != nil {
		return 0, false, err
	}
	if v := doc.Root.Applied(id); v > 0 {
		return v, false, nil
	}
	next, err := doc.Apply(id, edits)
	if err != nil {
		return 0, false, err
	}
	if err := e.writeChunks(ctx, doc, next); err != nil {
		return 0, false, err
	}
	ok, err := e.kv.CompareAndSwap(ctx, RootKey, next.EncodeRoot(), index)
	if err != nil || !ok {
		return 0, err != nil, err
	}
	for _, name := range doc.Obsolete(next) {
		if err := e.kv.Delete(ctx, chunkPrefix+name); err != nil {
			e.log.Warn("Can't delete an old chunk.", "chunk", name, "error", err.Error())
		}
	}
	return next.Root.Version, true, nil
}

func (e *Editor) writeChunks(ctx context.Context, old, next *table.Document) error {
	for i, name := range next.Root.Chunks {
		if name == "" || name == old.Root.Chunks[i] {
			continue
		}
		// A chunk that exists already has the same content.
		if _, err := e.kv.CompareAndSwap(ctx, chunkPrefix+name, next.Chunk(i), 0); err != nil {
			return err
		}
	}
	return nil
}

// confirm waits until an entry in each hall has the version in force, leaving
// out halls where none answers.
func (e *Editor) confirm(ctx context.Context, version uint64) (Outcome, error) {
	out := Outcome{Version: version, InForce: map[string]string{}}
	entry, err := e.kv.Get(ctx, ViewKey)
	if err != nil {
		return out, ErrUnsettled
	}
	v, err := view.Decode(entry.Value)
	if err != nil {
		return out, err
	}
	halls := map[string][]hookhall.Member{}
	for _, m := range v.Members {
		halls[m.Hall] = append(halls[m.Hall], m)
	}
	type found struct{ hall, member string }
	results := make(chan found, len(halls))
	for hall, members := range halls {
		go func() { results <- found{hall, e.confirmHall(ctx, version, members)} }()
	}
	for range halls {
		f := <-results
		if f.member == "" {
			out.OutOfReach = append(out.OutOfReach, f.hall)
		} else {
			out.InForce[f.hall] = f.member
		}
	}
	if len(halls) > 0 && len(out.InForce) == 0 {
		return out, ErrUnsettled
	}
	return out, nil
}

// confirmHall asks a hall's entries in turn until one has the version. While
// one answers, it may take until ctx ends.
func (e *Editor) confirmHall(ctx context.Context, version uint64, members []hookhall.Member) string {
	limit := clock.Now().Add(reachTime)
	for i := 0; ctx.Err() == nil; i++ {
		m := members[i%len(members)]
		pctx, cancel := context.WithTimeout(ctx, probeTime)
		reply, err := e.peers.Peer(m.Address).Probe(pctx, hookhall.Probe{From: "admin", TableVersion: version})
		cancel()
		switch {
		case err == nil && reply.TableVersion >= version:
			return m.ID
		case err != nil && clock.Now().After(limit):
			return ""
		}
		retry.Sleep(ctx, confirmPause)
	}
	return ""
}
