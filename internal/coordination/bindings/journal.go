// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	// minWriteInterval is the minimum time between two writes of a service's records. What arrives
	// meanwhile is written together.
	minWriteInterval = 25 * time.Millisecond
	// writeTimeout bounds the calls of the store for one batch.
	writeTimeout = time.Second
	// maxSegmentStreams and maxSegmentAge are when a segment is full: each write repeats it.
	maxSegmentStreams = 512
	maxSegmentAge     = 2 * time.Second
	// recordTTL is the time to live of a lease, and maxLeaseAge how long segments are written under
	// it: a segment outlives its streams.
	recordTTL   = 2*binding.MaxWindow + 10*time.Second
	maxLeaseAge = binding.MaxWindow
	// maxBaseAge is how long the base version is known without reading it again. Another owner may replace it
	// once it has not been listed for binding.MaxWindow, and it may be listed again then.
	maxBaseAge = binding.MaxWindow / 2
	// restoreDelay is how long after a restore of the store from an older copy the records count as
	// incomplete: all gateways record their streams again meanwhile.
	restoreDelay = 3 * time.Second
)

// errNoBase is returned for a service of which no version is known.
var errNoBase = errors.New("no version of the service is known")

// Base is the version of all streams of a service that are not recorded.
type Base struct {
	Version string
	IsKnown bool
}

// Journal writes the bindings of all gateways to the store for the services whose journal this process
// owns. Two processes that both take themselves for the owner write different keys. The exported
// fields are set before use; it is safe for concurrent use.
type Journal struct {
	Store hookhall.Store
	// Era returns the latest era of the store that is known.
	Era func() uint64
	// Writer distinguishes this process from all others that write, and from earlier ones of the same
	// instance.
	Writer  string
	History *binding.History
	Log     *log.Logger

	mu        sync.Mutex
	byService map[string]*serviceJournal
	// seenEra is the era at the last look at it, and restoredAt when it had risen. Before the first look,
	// hasSeenEra is not set.
	seenEra    uint64
	hasSeenEra bool
	restoredAt time.Time
}

// serviceJournal has the records of one service that this process has written.
type serviceJournal struct {
	*Journal
	service string

	next      *batch // guarded by Journal.mu
	isWriting bool   // guarded by Journal.mu

	// The fields below are used by the goroutine that writes.
	lastWrite  time.Time
	base       baseRecord
	baseAt     hookhall.Revision // of the last change of the stored base version
	baseReadAt time.Time         // when the stored base version was last read or written
	// wasBaseListed is whether it was listed then. One that is listed again may have been replaced meanwhile.
	wasBaseListed bool
	hasBase       bool
	// isBaseUnanswered is set after a write of the base version that failed and may still be done.
	isBaseUnanswered bool
	era              uint64
	restoredAt       time.Time // when the era was seen to rise, or the base version to be of an earlier one
	lease            hookhall.Lease
	leasedAt         time.Time
	segments         []*segment
	// unanswered has the numbers of segments of which a write failed, by the time of the last failure.
	unanswered map[int]time.Time
}

// batch has the bindings that are written together. Its result is set before done is closed.
type batch struct {
	list []binding.Binding
	done chan struct{}
	base Base
	err  error
}

// segment is one key with bindings.
type segment struct {
	number    int
	record    segmentRecord
	keys      map[binding.Key]string // versions of all streams in record
	count     int
	openedAt  time.Time
	expiresAt time.Time // when the last of its bindings does
	isStored  bool
}

// Record returns once the bindings are written. Those of the base version need no record, unless they are
// explicit.
func (j *Journal) Record(ctx context.Context, service string, list []binding.Binding) (Base, error) {
	b := j.add(service, list)
	select {
	case <-b.done:
		return b.base, b.err
	case <-ctx.Done():
		return Base{}, ctx.Err()
	}
}

// noteEra looks for a restore of the store from an older copy.
func (j *Journal) noteEra(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	era := j.Era()
	if j.hasSeenEra && era > j.seenEra {
		j.restoredAt = now
	}
	j.seenEra, j.hasSeenEra = era, true
}

// add adds bindings to the next batch of a service.
func (j *Journal) add(service string, list []binding.Binding) *batch {
	j.noteEra(clock.Now())
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.byService == nil {
		j.byService = map[string]*serviceJournal{}
	}
	s := j.byService[service]
	if s == nil {
		s = &serviceJournal{Journal: j, service: service, era: j.seenEra, restoredAt: j.restoredAt}
		j.byService[service] = s
	}
	if s.next == nil {
		s.next = &batch{done: make(chan struct{})}
	}
	s.next.list = append(s.next.list, list...)
	if !s.isWriting {
		s.isWriting = true
		go s.run()
	}
	return s.next
}

// isActive reports whether this process has written records of a service.
func (j *Journal) isActive(service string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byService[service] != nil
}

// run writes batches until there is none.
func (s *serviceJournal) run() {
	for {
		retry.Sleep(context.Background(), minWriteInterval-clock.Since(s.lastWrite))
		s.mu.Lock()
		b := s.next
		s.next = nil
		if b == nil {
			s.isWriting = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.lastWrite = clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		b.base, b.err = s.write(ctx, b.list)
		cancel()
		close(b.done)
	}
}

// write writes the bindings of a batch.
func (s *serviceJournal) write(ctx context.Context, list []binding.Binding) (Base, error) {
	now := clock.Now()
	s.checkEra(now)
	if err := s.ensureBase(ctx, list, now); err != nil {
		return Base{}, err
	}
	if versions, _ := s.History.Within(s.service, 0, now); len(versions) > 1 {
		if err := s.ensureLease(ctx, now); err != nil {
			return Base{}, err
		}
	}
	s.append(list, now)
	if err := s.writeSegments(ctx, now); err != nil {
		return Base{}, err
	}
	return Base{s.base.Version, s.hasBase}, nil
}

// checkEra forgets what a restore of the store from an older copy may have undone.
func (s *serviceJournal) checkEra(now time.Time) {
	era := s.Era()
	if era == s.era {
		return
	}
	s.era, s.restoredAt, s.hasBase, s.lease = era, now, false, hookhall.Lease{}
	for _, segment := range s.segments {
		segment.isStored = false
	}
}

// ensureBase reads the stored base version, or decides on one if there is none or its streams have ended.
func (s *serviceJournal) ensureBase(ctx context.Context, list []binding.Binding, now time.Time) error {
	if !s.hasBase || now.Sub(s.baseReadAt) > maxBaseAge || !s.wasBaseListed && s.isListed(s.base.Version, now) {
		if err := s.readBase(ctx, now); err != nil {
			return err
		}
	}
	if s.hasBase && s.base.Era != s.era && s.restoredAt.IsZero() {
		s.restoredAt = now
	}
	if now.Sub(s.restoredAt) < restoreDelay {
		s.hasBase = false // nobody may rely on it yet
		return nil
	}
	next, err := s.nextBase(list, now)
	// After a write that may still be done, the same value is written again, so that its condition fails.
	if err != nil || s.hasBase && next == s.base && !s.isBaseUnanswered {
		return err
	}
	return s.writeBase(ctx, next, now)
}

// readBase reads the stored base version.
func (s *serviceJournal) readBase(ctx context.Context, now time.Time) error {
	s.hasBase = false
	item, _, err := s.Store.Get(ctx, servicePrefix(s.service)+baseKey)
	if err != nil {
		return err
	}
	s.baseReadAt, s.wasBaseListed = now, false
	s.base, s.baseAt = baseRecord{}, item.Revision
	if item.Revision == 0 {
		return nil
	}
	if err := json.Unmarshal(item.Value, &s.base); err != nil {
		s.Log.Error("could not decode the base version of a service", "service", s.service, "error", err.Error())
		return nil // it is written anew
	}
	s.hasBase, s.wasBaseListed = true, s.isListed(s.base.Version, now)
	return nil
}

// isListed reports whether a version of the service is listed.
func (s *serviceJournal) isListed(version string, now time.Time) bool {
	listed, _ := s.History.Within(s.service, 0, now)
	return slices.Contains(listed, version)
}

// nextBase returns the base version that is right now.
func (s *serviceJournal) nextBase(list []binding.Binding, now time.Time) (baseRecord, error) {
	next := baseRecord{Version: s.base.Version, Era: s.era}
	versions, reach := s.History.Within(s.service, binding.MaxWindow, now)
	switch {
	case s.hasBase && (reach < binding.MaxWindow || len(versions) == 0 || slices.Contains(versions, s.base.Version)):
		// A stream of that version may still go on.
	case !s.hasBase && len(list) > 0:
		next.Version = list[0].Version
	case len(versions) > 0:
		next.Version = versions[0]
	default:
		return next, errNoBase
	}
	return next, nil
}

// writeBase replaces the stored base version.
func (s *serviceJournal) writeBase(ctx context.Context, next baseRecord, now time.Time) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "base version")
	}
	s.hasBase = false
	at, err := s.Store.Swap(ctx, servicePrefix(s.service)+baseKey, value, s.baseAt)
	s.isBaseUnanswered = err != nil && !errors.Is(err, hookhall.ErrConflict)
	if errors.Is(err, hookhall.ErrConflict) {
		return s.readBase(ctx, now) // another process has written it
	}
	if err != nil {
		return err
	}
	s.Log.Info("base version of a service's streams", "service", s.service, "version", next.Version, "before", s.base.Version, "era", next.Era)
	s.base, s.baseAt, s.baseReadAt, s.hasBase, s.wasBaseListed = next, at, now, true, s.isListed(next.Version, now)
	return nil
}

// append adds bindings to the segments, without those that need no record.
func (s *serviceJournal) append(list []binding.Binding, now time.Time) {
	s.segments = slices.DeleteFunc(s.segments, func(g *segment) bool { return !now.Before(g.expiresAt) })
	for _, bound := range list {
		isBase := s.hasBase && bound.Version == s.base.Version && !bound.IsExplicit
		if !isBase && now.Before(bound.ExpiresAt) && !s.isWaiting(bound) {
			s.openSegment(now).add(bound)
		}
	}
}

// isWaiting reports whether a binding is in a segment that is not stored: its write has failed, and it was sent
// again. The segment is kept for as long as the binding.
func (s *serviceJournal) isWaiting(bound binding.Binding) bool {
	for _, g := range s.segments {
		if version, ok := g.keys[bound.Key]; ok && !g.isStored && version == bound.Version {
			g.expiresAt = latest(g.expiresAt, bound.ExpiresAt)
			return true
		}
	}
	return false
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// openSegment returns a segment that is not full.
func (s *serviceJournal) openSegment(now time.Time) *segment {
	if n := len(s.segments); n > 0 {
		if last := s.segments[n-1]; last.count < maxSegmentStreams && now.Sub(last.openedAt) < maxSegmentAge {
			return last
		}
	}
	opened := &segment{number: s.freeNumber(now), record: segmentRecord{map[string][]byte{}}, keys: map[binding.Key]string{}, openedAt: now}
	s.segments = append(s.segments, opened)
	return opened
}

// freeNumber returns a number that no segment has, and of which no write can be done any more.
func (s *serviceJournal) freeNumber(now time.Time) int {
	maps.DeleteFunc(s.unanswered, func(_ int, at time.Time) bool { return now.Sub(at) > recordTTL })
	isUsed := func(number int) bool {
		_, isUnanswered := s.unanswered[number]
		return isUnanswered || slices.ContainsFunc(s.segments, func(g *segment) bool { return g.number == number })
	}
	number := 0
	for isUsed(number) {
		number++
	}
	return number
}

// renumber gives a segment another key after a write that failed: the store may do that write later, and it
// would replace what has been written since.
func (s *serviceJournal) renumber(g *segment, now time.Time) {
	if s.unanswered == nil {
		s.unanswered = map[int]time.Time{}
	}
	s.unanswered[g.number] = now
	g.number = s.freeNumber(now)
}

// add adds a binding.
func (g *segment) add(bound binding.Binding) {
	g.record.Streams[bound.Version] = append(g.record.Streams[bound.Version], bound.Key[:]...)
	g.count++
	g.isStored = false
	g.keys[bound.Key] = bound.Version
	g.expiresAt = latest(g.expiresAt, bound.ExpiresAt)
}

// writeSegments writes the segments that have changed. If their lease has ended, the store has lost
// all of them.
func (s *serviceJournal) writeSegments(ctx context.Context, now time.Time) error {
	isLeaseRenewed := false
	for i := 0; i < len(s.segments); i++ {
		segment := s.segments[i]
		if segment.isStored {
			continue
		}
		if err := s.ensureLease(ctx, now); err != nil {
			return err
		}
		value, err := json.Marshal(segment.record)
		if err != nil {
			return errors.Wrap(err, "segment")
		}
		err = s.Store.Put(ctx, servicePrefix(s.service)+segmentKey+s.Writer+"/"+strconv.Itoa(segment.number), value, s.lease)
		if errors.Is(err, hookhall.ErrLeaseGone) && !isLeaseRenewed {
			isLeaseRenewed, s.lease = true, hookhall.Lease{}
			for _, other := range s.segments {
				other.isStored = false
			}
			i = -1
			continue
		}
		if err != nil {
			s.renumber(segment, now)
			return err
		}
		segment.isStored = true
	}
	return nil
}

// ensureLease creates a lease if there is none that is young enough.
func (s *serviceJournal) ensureLease(ctx context.Context, now time.Time) error {
	if s.lease.Number != 0 && now.Sub(s.leasedAt) < maxLeaseAge {
		return nil
	}
	lease, err := s.Store.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	s.lease, s.leasedAt = lease, now
	return nil
}
