// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package bindings shares with the other gateways which software version began a stream, so that
// clients can take it up at any of them.
//
// # Model
//
// The gateway that passes on the first event of a stream keeps the stream's binding and sends copies
// to Copies other gateways, the first ones in the binding's order that answer. A gateway at which a
// client takes the stream up looks in its own table, then asks the first gateways of that order,
// then further ones: their lists of members may differ, and holders may have died. It copies what it
// finds to the gateways that should hold it now. A gateway that stops hands its copies over.
//
// Gateways may all end at once, so the store has records, too: a base version for each service, and the streams
// that began at others. The owner of a service's Journal writes them, and a Recorder sends it the bindings of its
// process. A stream that is not recorded began at the base version. Nothing has to be written when a second
// version appears, and nothing for a service of one version but its base.
//
// If no gateway knows the binding, the version follows from the histories of versions, if one of them covers the
// time in which the stream can have begun and all have one version, and otherwise from the records. Else it
// is not known, and the stream must not go on.
//
// # Invariants
//
//   - While several versions of a service are listed, Bind returns only when a copy exists at
//     another gateway, or none can be reached in bindTimeout.
//   - While the base version is listed beside others, Bind returns for a stream at one of these only when its record is
//     written, or can't be in bindTimeout.
//   - The base version changes only once it has not been listed for as long as a stream can be taken up.
//   - Find returns a version that a gateway or the store recorded, the base version, or the only one that any
//     gateway remembers.
package bindings

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// Copies is the number of other gateways that hold a binding.
	Copies = 3
	// bindTimeout bounds how long the first event of a stream may wait for a copy of its binding, and
	// for its record.
	bindTimeout = 50 * time.Millisecond
	// readRetryDelay is the delay before records that could not be read are read again.
	readRetryDelay = 50 * time.Millisecond
	// copyTimeout bounds a call that sends bindings to one gateway.
	copyTimeout = 200 * time.Millisecond
	// findTimeout bounds each of the two rounds of calls for a binding.
	findTimeout = 100 * time.Millisecond
	// maxAsked is the number of gateways that are asked for a binding in both rounds together.
	maxAsked = 12
	// maxPerCall limits the bindings in one call, so that its message stays below 200 KB.
	maxPerCall = 2000
	// startTimeout bounds how long a lookup waits for the list of gateways, which a process that
	// has just started does not have, and for that of targets, which it may have from an old copy.
	startTimeout = 500 * time.Millisecond
	// startPollInterval is the interval at which it looks for the lists.
	startPollInterval = 10 * time.Millisecond
)

// Fleet lists the gateways.
type Fleet interface {
	// Self returns this process.
	Self() hookhall.Member
	// All returns all gateways, this one included. The caller must not change the slice.
	All() []hookhall.Member
	// List returns those that have not failed to answer lately.
	List(now time.Time) []hookhall.Member
	// HasList reports whether the other gateways are known: not yet, just after the start.
	HasList() bool
	// Owner returns the member that owns key, leaving out the addresses in skip.
	Owner(key string, skip map[string]bool, now time.Time) hookhall.Member
}

// Remote is a client of another gateway.
type Remote interface {
	// Bind copies bindings to the gateway.
	Bind(ctx context.Context, list []binding.Binding) error
	// FindBinding calls Bindings.Known of the gateway.
	FindBinding(ctx context.Context, q Query) (Known, error)
	// Ping succeeds if the gateway is running.
	Ping(ctx context.Context) error
	// RecordStreams calls Journal.Record of the gateway.
	RecordStreams(ctx context.Context, service string, list []binding.Binding) (Base, error)
}

// Meter counts lookups.
type Meter interface {
	// StreamTakenUp counts a stream that a client takes up, by the source of its version.
	StreamTakenUp(source string)
}

// Query asks for the binding of a stream.
type Query struct {
	Key     binding.Key
	Service string
	// Window is how long ago the stream can have begun.
	Window time.Duration
	// IsUnnamed means that the client does not say which stream it takes up.
	IsUnnamed bool
	// Others are the other services to which the route leads.
	Others []string
}

// Known is what one gateway knows about a stream.
type Known struct {
	Binding binding.Binding
	IsBound bool // Binding is set
	// Versions are those that the service had within the window, Reach of which the gateway
	// remembers.
	Versions []string
	Reach    time.Duration
	// StartedAt is the store's revision when the gateway started, 0 if it is not known.
	StartedAt hookhall.Revision
}

// hasSeen reports whether the gateway has been there for the whole window, or since before streams of the
// service were recorded for the first time.
func (k *Known) hasSeen(window time.Duration, created hookhall.Revision) bool {
	return k.Reach >= window || k.StartedAt != 0 && k.StartedAt < created
}

// add adds the versions that another gateway remembers.
func (k *Known) add(other Known) {
	k.Versions = slices.Compact(slices.Sorted(slices.Values(slices.Concat(k.Versions, other.Versions))))
	k.Reach = max(k.Reach, other.Reach)
}

// Source says how the version of a stream was found.
type Source string

// The sources.
const (
	SourceOwn     Source = "own"     // this process knew it
	SourcePeer    Source = "peer"    // another gateway knew it
	SourceSole    Source = "sole"    // the service has had only one version
	SourceStore   Source = "store"   // the stream is recorded in the store
	SourceBase    Source = "base"    // it is not recorded there, so it began at the base version
	SourceUnknown Source = "unknown" // it is not known
)

// Found is the software that a stream has to go on at.
type Found struct {
	Service string
	Version string
	Source  Source
	// Asked is the number of gateways that were asked, and Unanswered how many of them did not
	// answer.
	Asked, Unanswered int
	// Versions are those that this gateway and those that it asked remember, and Reach is how far
	// back the longest of these memories goes. Both are zero if the binding was known.
	Versions []string
	Reach    time.Duration
}

// Bindings holds this gateway's bindings and finds those of others. Its fields are set before use;
// it is safe for concurrent use.
type Bindings struct {
	Table   *binding.Table
	History *binding.History
	Fleet   Fleet
	// Remote returns the client of the gateway at an address.
	Remote func(address string) Remote
	// ListAge returns the age of the list of targets.
	ListAge func(now time.Time) time.Duration
	// StartedAt returns the store's revision when this process started, 0 if it is not known.
	StartedAt func() hookhall.Revision
	Recorder  *Recorder
	Meter     Meter
	Log       *log.Logger

	reader storeReader
}

// Bind records the software that began a stream, before its first event is passed on. window is how
// long ago a stream that is still of use can have begun.
func (b *Bindings) Bind(ctx context.Context, bound binding.Binding, window time.Duration) {
	now := clock.Now()
	b.Table.Put(bound, now)
	isMixed := b.mayMix(bound.Service)
	recorded := b.Recorder.Record(bound, isMixed || !b.Recorder.Base(bound.Service).IsKnown)
	copied := b.copy(bound, now)
	timer := time.NewTimer(bindTimeout)
	defer timer.Stop()
	if b.History.Mixed(bound.Service, window, now) && !b.await(ctx, copied, timer.C) {
		b.Log.Warn("no copy of a stream's version yet", "service", bound.Service, "software", bound.Version)
		return
	}
	if isMixed && !b.await(ctx, recorded, timer.C) {
		b.Log.Warn("a stream's version is not recorded yet", "service", bound.Service, "software", bound.Version)
	}
}

// await waits until done is closed, and returns false if the timer expires before.
func (b *Bindings) await(ctx context.Context, done <-chan struct{}, expired <-chan time.Time) bool {
	select {
	case <-done:
	case <-ctx.Done():
	case <-expired:
		return false
	}
	return true
}

// mayMix reports whether a stream that is not recorded could be taken for one of another version at
// which it can go on: several versions are listed, and the base version is one of them or not known.
func (b *Bindings) mayMix(service string) bool {
	listed, _ := b.History.Within(service, 0, clock.Now())
	base := b.Recorder.Base(service)
	return len(listed) > 1 && (!base.IsKnown || slices.Contains(listed, base.Version))
}

// Preferred returns the version at which new streams of a service should begin while others can't be
// recorded: streams of the base version need no record.
func (b *Bindings) Preferred(service string) (version string, ok bool) {
	base := b.Recorder.Base(service)
	return base.Version, base.IsKnown && b.Recorder.IsFailing(service)
}

// Refresh copies a binding to the gateways that should hold it now, without waiting for them, and records it
// again: its record expires when the client's try before was to end.
func (b *Bindings) Refresh(bound binding.Binding) {
	now := clock.Now()
	b.Table.Put(bound, now)
	b.copy(bound, now)
	b.Recorder.Record(bound, false)
}

// copy sends a binding to Copies gateways. The channel is closed once one of them has it, or none
// of them can be reached.
func (b *Bindings) copy(bound binding.Binding, now time.Time) (copied <-chan struct{}) {
	candidates := b.peers(bound.Key, b.Fleet.List(now))
	done := make(chan struct{})
	var next, running atomic.Int64
	var once sync.Once
	running.Store(min(Copies, int64(len(candidates))))
	if len(candidates) == 0 {
		close(done)
	}
	for range running.Load() {
		go func() {
			// Each of these makes one copy, at the next gateway that answers.
			for i := next.Add(1) - 1; i < int64(len(candidates)) && i < 2*Copies; i = next.Add(1) - 1 {
				if b.send(candidates[i].Address, []binding.Binding{bound}) {
					once.Do(func() { close(done) })
					break
				}
			}
			if running.Add(-1) == 0 {
				once.Do(func() { close(done) })
			}
		}()
	}
	return done
}

// send copies bindings to the gateway at an address, and reports whether it has them.
func (b *Bindings) send(address string, list []binding.Binding) bool {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	return b.Remote(address).Bind(ctx, list) == nil
}

// peers returns the other gateways of a list in the order of a binding.
func (b *Bindings) peers(key binding.Key, list []hookhall.Member) []hookhall.Member {
	self := b.Fleet.Self().Address
	ranked := binding.Rank(key, list)
	others := ranked[:0]
	for _, member := range ranked {
		if member.Address != self {
			others = append(others, member)
		}
	}
	return others
}

// Merge adds bindings that another gateway has copied to this one.
func (b *Bindings) Merge(list []binding.Binding) {
	now := clock.Now()
	for _, bound := range list {
		if bound.IsUnrecorded {
			bound.IsUnrecorded = false
			b.Recorder.Record(bound, false)
		}
		b.Table.Put(bound, now)
	}
}

// Known returns what this gateway knows about a stream.
func (b *Bindings) Known(q Query) Known {
	now := clock.Now()
	var k Known
	k.Binding, k.IsBound = b.Table.Get(q.Key, now)
	k.Versions, k.Reach = b.History.Within(q.Service, q.Window, now)
	k.StartedAt = b.StartedAt()
	return k
}

// Find returns the software at which a stream has to go on.
func (b *Bindings) Find(ctx context.Context, q Query) Found {
	found := b.find(ctx, q)
	b.Meter.StreamTakenUp(string(found.Source))
	return found
}

// find looks in the own table, asks the gateways that should hold the binding and then further ones, and
// then looks into the store.
func (b *Bindings) find(ctx context.Context, q Query) Found {
	own := b.Known(q)
	if own.IsBound {
		return Found{Service: own.Binding.Service, Version: own.Binding.Version, Source: SourceOwn}
	}
	await(ctx, b.Fleet.HasList)
	i := b.inquire(ctx, q, own)
	if i.found.Source == SourcePeer || b.concludeSole(q, i) {
		return i.found
	}
	found := b.findStored(ctx, q, i)
	if found.Source != SourceUnknown || !i.mayBeSole(q) || !await(ctx, func() bool { return b.isCurrent(i) }) {
		return found
	}
	b.concludeSole(q, i)
	return i.found
}

// inquiry is what gateways answered to the query for a stream.
type inquiry struct {
	began time.Time
	found Found
	// memories is what this gateway, the first, and those that answered know instead of the binding, and
	// seen is all of that together.
	memories []Known
	seen     Known
	// isComplete is set if all gateways were asked and have answered.
	isComplete bool
}

// inquire asks the gateways that should hold the binding, and then further ones. own is what this one knows.
func (b *Bindings) inquire(ctx context.Context, q Query, own Known) *inquiry {
	// Those that failed to answer lately are asked, too: what they know may be needed, and if they
	// are not there this gateway may be cut off.
	all := b.peers(q.Key, b.Fleet.All())
	peers := all[:min(len(all), maxAsked)]
	holders := min(len(peers), Copies)
	i := &inquiry{began: clock.Now(), found: Found{Service: q.Service, Source: SourceUnknown}, memories: []Known{own}, seen: own}
	for _, round := range [][]hookhall.Member{peers[:holders], peers[holders:]} {
		answers := b.ask(ctx, round, q)
		i.found.Asked, i.found.Unanswered = i.found.Asked+len(round), i.found.Unanswered+len(round)-len(answers)
		for _, k := range answers {
			if k.IsBound {
				i.found.Service, i.found.Version, i.found.Source = k.Binding.Service, k.Binding.Version, SourcePeer
				return i
			}
			i.memories = append(i.memories, k)
			i.seen.add(k)
		}
		if len(i.seen.Versions) == 1 && i.seen.Reach >= q.Window {
			break
		}
	}
	i.isComplete = i.found.Asked == len(all) && i.found.Unanswered == 0
	return i
}

// concludeSole reports whether the service has had only one version for as long as the stream can be old.
func (b *Bindings) concludeSole(q Query, i *inquiry) bool {
	isCurrent := b.isCurrent(i)
	if i.found.Unanswered > 0 {
		i.memories[0] = b.Known(q) // the list may have brought another version meanwhile
		i.seen.add(i.memories[0])
	}
	i.found.Versions, i.found.Reach = i.seen.Versions, i.seen.Reach
	if !isCurrent || !i.mayBeSole(q) {
		return false
	}
	i.found.Version, i.found.Source = i.seen.Versions[0], SourceSole
	return true
}

// isCurrent reports whether what the inquiry says of versions holds for all streams that have begun before it. If
// gateways don't answer, they may have begun streams at a version that is not on an earlier list of targets.
func (b *Bindings) isCurrent(i *inquiry) bool {
	now := clock.Now()
	return i.found.Unanswered == 0 || b.ListAge(now) <= now.Sub(i.began)
}

// mayBeSole reports whether the gateways that answered know only one version for as long as the stream can be old.
func (i *inquiry) mayBeSole(q Query) bool {
	if len(q.Others) > 0 && !q.IsUnnamed {
		return false // the stream may have begun at another service
	}
	return len(i.memories[0].Versions) == 1 && len(i.seen.Versions) == 1 && i.seen.Reach >= q.Window
}

// findStored looks for a stream in the store that the gateways which were asked don't know.
func (b *Bindings) findStored(ctx context.Context, q Query, i *inquiry) Found {
	found := i.found
	var stored storedStreams
	for _, service := range append(slices.Clone(q.Others), q.Service) {
		var err error
		if stored, err = b.read(ctx, service); err != nil {
			b.Log.Warn("records of streams can't be read", "service", service, "error", err.Error())
			return found
		}
		if version, ok := stored.versions[q.Key]; ok && !q.IsUnnamed {
			found.Service, found.Version, found.Source = service, version, SourceStore
			return found
		}
	}
	if len(q.Others) > 0 && !q.IsUnnamed {
		return found // its record would say which service began it
	}
	isOther := func(version string) bool { return version != stored.base.Version }
	hasOther := stored.hasOtherThan(stored.base.Version) || slices.ContainsFunc(found.Versions, isOther)
	switch {
	case stored.hasBase && (!hasOther || !q.IsUnnamed && i.mayHaveLost(q.Window, stored.created)):
		found.Version, found.Source = stored.base.Version, SourceBase
	case !stored.exists && !stored.wasRestored && i.isComplete && len(i.memories[0].Versions) == 1 && len(found.Versions) == 1:
		// No stream has begun before these gateways started.
		found.Version, found.Source = found.Versions[0], SourceSole
	}
	return found
}

// mayHaveLost reports whether gateways may have ended that knew the stream. If all have been there for long
// enough, there was none. created is the store's revision when a base version was first stored.
func (i *inquiry) mayHaveLost(window time.Duration, created hookhall.Revision) bool {
	isYoung := func(k Known) bool { return !k.hasSeen(window, created) }
	return !i.isComplete || slices.ContainsFunc(i.memories, isYoung)
}

// read reads the store's records of a service, and tries again for a while if that fails.
func (b *Bindings) read(ctx context.Context, service string) (storedStreams, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		stored, err := b.reader.read(ctx, b.Recorder.Journal.Store, service)
		if err == nil || !retry.Sleep(ctx, readRetryDelay) {
			return stored, err
		}
	}
}

// await waits up to startTimeout for a condition and reports whether it was met.
func await(ctx context.Context, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !condition() {
		if !retry.Sleep(ctx, startPollInterval) {
			return false
		}
	}
	return true
}

// ask asks gateways at the same time. It returns the answers until one has the binding, which is the
// last one then.
func (b *Bindings) ask(ctx context.Context, peers []hookhall.Member, q Query) []Known {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		Known
		err error
	}
	answers := make(chan answer, len(peers))
	for _, peer := range peers {
		go func() {
			known, err := b.Remote(peer.Address).FindBinding(ctx, q)
			answers <- answer{known, err}
		}()
	}
	var list []Known
	for range peers {
		a := <-answers
		if a.err != nil {
			continue
		}
		list = append(list, a.Known)
		if a.IsBound {
			break
		}
	}
	return list
}
