// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/pkg/errors"
)

const (
	// prefix of the keys, each named by a content.
	prefix = "hookhall/crashes/"
	// storePauseFirst and storePauseMost bound the pauses after failures of the store.
	storePauseFirst = 100 * time.Millisecond
	storePauseMost  = time.Second
	// rewriteEvery is the least time between two writes of what has changed: the targets
	// that were sent a content before its refusal end one by one.
	rewriteEvery = 200 * time.Millisecond
	// leadLook is how often a process looks whether it has become the one that writes.
	leadLook = 2 * time.Second
)

// record is what the store has of a refused content.
type record struct {
	Content string      `json:"content"`
	Account string      `json:"account"`
	Ends    []recordEnd `json:"ends"`
}

type recordEnd struct {
	Target string `json:"target"`
	Born   int64  `json:"born,omitempty"`
	// Software is the target's service and the version of that.
	Software string `json:"software,omitempty"`
	// AfterMS is when the end came after the first of the record.
	AfterMS int64 `json:"after_ms,omitempty"`
	Served  bool  `json:"served,omitempty"`
	Cleared bool  `json:"cleared,omitempty"`
}

// stored is what this process knows to be in the store of one content.
type stored struct {
	lease hookhall.Lease // 0 when another process wrote it
	ends  int            // how many counted
	era   uint64         // of the store, when that was so
}

// writer keeps the store's records.
type writer struct {
	*Quarantine
	stored map[crashes.Digest]stored
}

// keepStored reads the records at the start and writes what is refused later, as long as
// this process writes for all.
func (q *Quarantine) keepStored(ctx context.Context) {
	w := &writer{q, map[crashes.Digest]stored{}}
	pause := retry.Between(storePauseFirst, storePauseMost)
	for ctx.Err() == nil && w.read(ctx) != nil {
		pause.Wait(ctx)
	}
	pause.Reset()
	for retry.Sleep(ctx, rewriteEvery) {
		w.await(ctx)
		for ctx.Err() == nil && !w.write(ctx) {
			pause.Wait(ctx)
		}
		pause.Reset()
	}
}

// await waits until something may have to be written.
func (w *writer) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-time.After(leadLook):
	}
}

// read takes in what the store has.
func (w *writer) read(ctx context.Context) error {
	items, _, err := w.store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	now := clock.Now()
	for _, i := range items {
		ends, err := readRecord(i, now)
		if err != nil {
			w.log.Error("A record of a refused content can't be read.", "key", i.Key, "error", err.Error())
			continue
		}
		w.Learn(ends, "store")
		w.note(ends[0].Content, hookhall.Lease{})
	}
	return nil
}

// write writes what has changed, and tells whether nothing is left to write.
func (w *writer) write(ctx context.Context) bool {
	if !w.Leads() {
		return true
	}
	done := true
	for d := range w.changed() {
		if err := w.writeOne(ctx, d); err != nil {
			w.log.Warn("A refused content could not be written.", "content", d, "error", err.Error())
			done = false
		}
	}
	return done
}

// changed are the contents whose record is not what is known here: those that are
// refused, and those that were. A store that came back from a copy may have lost any.
func (w *writer) changed() map[crashes.Digest]bool {
	differ := map[crashes.Digest]bool{}
	for d, s := range w.Ledger.Refused() {
		if was, ok := w.stored[d]; !ok || was.ends != s.Ends || was.era < w.Era() {
			differ[d] = true
		}
	}
	for d, was := range w.stored {
		if (w.Ledger.Standing(d).Ends != was.ends || was.era < w.Era()) && len(w.Ledger.Of(d)) > 0 {
			differ[d] = true
		}
	}
	return differ
}

// writeOne writes the record of one content under a lease of its own.
func (w *writer) writeOne(ctx context.Context, d crashes.Digest) error {
	ends := w.Ledger.Of(d)
	value, err := json.Marshal(newRecord(ends))
	if err != nil {
		return errors.Wrap(err, "record")
	}
	lease := w.stored[d].lease
	if lease.Era < w.Era() {
		lease = hookhall.Lease{} // it went with what the store has lost
	}
	if lease.Number == 0 {
		if lease, err = w.store.Grant(ctx, keep); err != nil {
			return err
		}
	}
	err = w.store.Put(ctx, prefix+d.String(), value, lease)
	if errors.Is(err, hookhall.ErrLeaseGone) {
		delete(w.stored, d)
	}
	if err != nil {
		return err
	}
	w.note(d, lease)
	return nil
}

// note takes in that the store has what is known of a content.
func (w *writer) note(d crashes.Digest, lease hookhall.Lease) {
	w.stored[d] = stored{lease, w.Ledger.Standing(d).Ends, w.Era()}
}

func newRecord(ends []crashes.End) record {
	r := record{Content: ends[0].Content.String(), Account: ends[0].Account}
	first := ends[0].At
	for _, e := range ends {
		if e.At.Before(first) {
			first = e.At
		}
	}
	for _, e := range ends {
		r.Ends = append(r.Ends, recordEnd{
			Target: e.Life.ID, Born: e.Life.Born, Software: e.Software, AfterMS: e.At.Sub(first).Milliseconds(), Served: e.Served, Cleared: e.Cleared,
		})
	}
	return r
}

// readRecord reads a record. It does not say how old its ends are: the last counts from now
// on, and no longer than the record's lease and the ledger's time together.
func readRecord(i hookhall.Item, now time.Time) ([]crashes.End, error) {
	var r record
	if err := json.Unmarshal(i.Value, &r); err != nil {
		return nil, errors.Wrap(err, i.Key)
	}
	var content crashes.Digest
	b, err := hex.DecodeString(r.Content)
	if err != nil || len(b) != len(content) || len(r.Ends) == 0 {
		return nil, errors.Errorf("%s: %q with %d ends is no record", i.Key, r.Content, len(r.Ends))
	}
	copy(content[:], b)
	last := int64(0)
	for _, e := range r.Ends {
		last = max(last, e.AfterMS)
	}
	var ends []crashes.End
	for _, e := range r.Ends {
		ends = append(ends, crashes.End{
			Content: content, Account: r.Account, Life: hookhall.Life{ID: e.Target, Born: e.Born},
			Software: e.Software, Served: e.Served, Cleared: e.Cleared,
			At: now.Add(-time.Duration(min(last-e.AfterMS, int64(keep/time.Millisecond))) * time.Millisecond),
		})
	}
	return ends, nil
}
