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
	// keyPrefix begins the keys of records; the content's digest in hex follows.
	keyPrefix = "hookhall/crashes/"
	// minStoredCrashes is the number of crashes from which a content is recorded: one less than for
	// a refusal. With only refused ones recorded, gateways that were all killed twice forgot four
	// crashes of a content. Recording each crash would write all that targets were running when
	// many of them crash at once.
	minStoredCrashes = maxCrashes - 1
	// minStoreRetryDelay and maxStoreRetryDelay bound the pauses between retries of a failed
	// store call.
	minStoreRetryDelay = 100 * time.Millisecond
	maxStoreRetryDelay = time.Second
	// minWriteInterval is the minimum time between two rounds of writes: the targets that were
	// sent a content before its refusal crash one by one, and each changes the record.
	minWriteInterval = 200 * time.Millisecond
	// writerPollInterval is the maximum time until a process that has become the one that
	// writes begins to write.
	writerPollInterval = 2 * time.Second
)

// record is the stored form of a content or a refused part: its crashes.
type record struct {
	Content string          `json:"content"`        // digest
	Part    string          `json:"part,omitempty"` // ID of the part
	Account string          `json:"account"`
	Crashes []recordedCrash `json:"ends"`
}

// recordedCrash is the stored form of a crash.
type recordedCrash struct {
	Target string `json:"target"`
	Born   int64  `json:"born,omitempty"`
	// Software is the target's service and the version of the service.
	Software string `json:"software,omitempty"`
	// AfterMS is the time in milliseconds from the first crash of the record to this one.
	AfterMS int64 `json:"after_ms,omitempty"`
	// Account is the account of this crash, if it differs from that of the record.
	Account *string `json:"account,omitempty"`
	Served  bool    `json:"served,omitempty"`
	Cleared bool    `json:"cleared,omitempty"`
}

// storedRecord describes the record of one content that this process knows to be in the
// store.
type storedRecord struct {
	lease   hookhall.Lease // 0 when another process wrote it
	crashes int            // how many counted against the content
	era     uint64         // Quarantine.Era when the record was read or written
}

// recordWriter keeps the store's records up to date. One goroutine uses it.
type recordWriter struct {
	*Quarantine
	storedByDigest map[crashes.Digest]storedRecord
}

// syncStore reads the records at the start, and then writes changed ones while this process is
// the one that writes for all, until ctx ends.
func (q *Quarantine) syncStore(ctx context.Context) {
	w := &recordWriter{q, map[crashes.Digest]storedRecord{}}
	backoff := retry.NewWithDelays(minStoreRetryDelay, maxStoreRetryDelay)
	for ctx.Err() == nil && w.read(ctx) != nil {
		backoff.Wait(ctx)
	}
	backoff.Reset()
	for retry.Sleep(ctx, minWriteInterval) {
		w.waitForChange(ctx)
		for ctx.Err() == nil && !w.write(ctx) {
			backoff.Wait(ctx)
		}
		backoff.Reset()
	}
}

// waitForChange waits until a record may have to be written, at most writerPollInterval.
func (w *recordWriter) waitForChange(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.writeSignal:
	case <-time.After(writerPollInterval):
	}
}

// read merges the store's records into the ledger. A record that can't be decoded is logged
// and left out.
func (w *recordWriter) read(ctx context.Context) error {
	items, _, err := w.store.Range(ctx, keyPrefix)
	if err != nil {
		return err
	}
	now := clock.Now()
	for _, item := range items {
		list, err := parseRecord(item, now)
		if err != nil {
			w.log.Error("could not decode record of a crashing content", "key", item.Key, "error", err.Error())
			continue
		}
		w.Merge(list, "store")
		w.noteStored(list[0].Content, hookhall.Lease{})
	}
	return nil
}

// write writes the changed records if this process is the one that writes. It returns false
// if a write failed.
func (w *recordWriter) write(ctx context.Context) bool {
	if !w.IsStoreWriter() {
		return true
	}
	allWritten := true
	for d := range w.changed() {
		if err := w.writeOne(ctx, d); err != nil {
			w.log.Warn("could not write record of a crashing content", "content", d, "error", err.Error())
			allWritten = false
		}
	}
	return allWritten
}

// changed returns the contents that have or had minStoredCrashes and the parts that are or were
// refused, whose records differ from the ledger. A store that was restored from an older copy may
// have lost any record.
func (w *recordWriter) changed() map[crashes.Digest]bool {
	differing := map[crashes.Digest]bool{}
	for _, list := range []map[crashes.Digest]crashes.Status{w.Ledger.WithCrashes(minStoredCrashes), w.Parts.Ledger().Refused()} {
		for d, status := range list {
			if stored, isStored := w.storedByDigest[d]; !isStored || stored.crashes != status.Crashes || stored.era < w.Era() {
				differing[d] = true
			}
		}
	}
	for d, stored := range w.storedByDigest {
		ledger := w.ledgerOf(d)
		if (ledger.Status(d).Crashes != stored.crashes || stored.era < w.Era()) && len(ledger.ByContent(d)) > 0 {
			differing[d] = true
		}
	}
	return differing
}

// writeOne writes the record of one content under a lease of its own. A lease that this
// process holds for the content is used again.
func (w *recordWriter) writeOne(ctx context.Context, d crashes.Digest) error {
	list := w.ledgerOf(d).ByContent(d)
	value, err := json.Marshal(newRecord(list))
	if err != nil {
		return errors.Wrap(err, "record")
	}
	lease := w.storedByDigest[d].lease
	if lease.Era < w.Era() {
		lease = hookhall.Lease{} // lost in the restore of the store
	}
	if lease.Number == 0 {
		if lease, err = w.store.Grant(ctx, crashTTL); err != nil {
			return err
		}
	}
	err = w.store.Put(ctx, keyPrefix+d.String(), value, lease)
	if errors.Is(err, hookhall.ErrLeaseGone) {
		delete(w.storedByDigest, d)
	}
	if err != nil {
		return err
	}
	w.noteStored(d, lease)
	return nil
}

// noteStored records that the store has the present state of a content. The zero lease means
// that another process wrote it.
func (w *recordWriter) noteStored(d crashes.Digest, lease hookhall.Lease) {
	w.storedByDigest[d] = storedRecord{lease, w.ledgerOf(d).Status(d).Crashes, w.Era()}
}

// ledgerOf returns the ledger that holds crashes of a content or part; none else has crashes of it.
func (w *recordWriter) ledgerOf(d crashes.Digest) *crashes.Ledger {
	if parts := w.Parts.Ledger(); len(parts.ByContent(d)) > 0 {
		return parts
	}
	return w.Ledger
}

// newRecord returns the record of the crashes of one content, of which there is at least
// one.
func newRecord(list []crashes.Crash) record {
	r := record{Content: list[0].Content.String(), Part: list[0].Part, Account: list[0].Account}
	first := list[0].ReportedAt
	for _, crash := range list {
		if crash.ReportedAt.Before(first) {
			first = crash.ReportedAt
		}
	}
	for _, crash := range list {
		recorded := recordedCrash{
			Target: crash.Incarnation.ID, Born: crash.Incarnation.Start, Software: crash.Software, AfterMS: crash.ReportedAt.Sub(first).Milliseconds(), Served: crash.RecentlyServed, Cleared: crash.Cleared,
		}
		if crash.Account != r.Account {
			recorded.Account = &crash.Account
		}
		r.Crashes = append(r.Crashes, recorded)
	}
	return r
}

// parseRecord returns the crashes of a stored record, at least one. The record does not
// contain their age: the last one is dated now, so that it counts for crashTTL after the
// record was read, which is at most the record's lease and crashTTL after the last write.
func parseRecord(item hookhall.Item, now time.Time) ([]crashes.Crash, error) {
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return nil, errors.Wrap(err, item.Key)
	}
	var content crashes.Digest
	b, err := hex.DecodeString(r.Content)
	if err != nil || len(b) != len(content) || len(r.Crashes) == 0 {
		return nil, errors.Errorf("%s: invalid record of a refused content: digest %q, %d crashes", item.Key, r.Content, len(r.Crashes))
	}
	copy(content[:], b)
	last := int64(0)
	for _, crash := range r.Crashes {
		last = max(last, crash.AfterMS)
	}
	var list []crashes.Crash
	for _, crash := range r.Crashes {
		account := r.Account
		if crash.Account != nil {
			account = *crash.Account
		}
		list = append(list, crashes.Crash{
			Content: content, Part: r.Part, Account: account, Incarnation: hookhall.Incarnation{ID: crash.Target, Start: crash.Born},
			Software: crash.Software, RecentlyServed: crash.Served, Cleared: crash.Cleared,
			ReportedAt: now.Add(-time.Duration(min(last-crash.AfterMS, int64(crashTTL/time.Millisecond))) * time.Millisecond),
		})
	}
	return list, nil
}
