// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings

import (
	"context"
	"slices"
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
	// ownerKeyPrefix begins the key by which the owner of a service's journal is found.
	ownerKeyPrefix = "streams/"
	// gatherDelay is how long bindings are gathered that no first event waits for.
	gatherDelay = 50 * time.Millisecond
	// recordTimeout bounds a call of the owner of a journal, which waits for the store.
	recordTimeout = 1200 * time.Millisecond
	// minRecordDelay and maxRecordDelay bound the delay before a failed call is made again.
	minRecordDelay = 50 * time.Millisecond
	maxRecordDelay = time.Second
	// failingAfter is the age of a binding that is not recorded from which on the journal counts as
	// failing.
	failingAfter = 250 * time.Millisecond
	// restoreCheckInterval is the interval at which a restore of the store is looked for.
	restoreCheckInterval = 500 * time.Millisecond
	// maxFailedOwners is the number of owners that may fail before this process writes by itself.
	maxFailedOwners = 2
	// answerTrust is how long after its last answer an owner is expected to answer the next call. After it, a
	// ping of pingTimeout shows whether it is there: a first event waits for bindTimeout.
	answerTrust = 2 * time.Second
	pingTimeout = 20 * time.Millisecond
	// maxQueued limits the bindings that wait for their record; the oldest are dropped.
	maxQueued = 1 << 14
)

// errNotThere is returned for an owner that does not answer a ping.
var errNotThere = errors.New("the owner does not answer")

// Recorder sends the bindings of this process to the owners of journals. The exported fields are set
// before use; it is safe for concurrent use.
type Recorder struct {
	Journal *Journal // used while this process is the owner
	Table   *binding.Table
	Fleet   Fleet
	// Remote returns the client of the gateway at an address.
	Remote func(address string) Remote
	Log    *log.Logger

	mu         sync.Mutex
	byService  map[string]*outbox
	answeredAt map[string]time.Time // when owners answered last, by address
}

// outbox has the bindings of one service that are not recorded yet. Recorder.mu guards it.
type outbox struct {
	base Base
	// isCurrent is set while the base version has been listed ever since the owner has stated it, at statedAt.
	isCurrent bool
	statedAt  time.Time
	queue     []*queued
	isSending bool
	urgent    chan struct{} // receives once a first event waits
}

// queued is a binding that is not recorded yet.
type queued struct {
	binding.Binding
	since time.Time
	done  chan struct{}
}

// Record queues a binding. The channel is closed once it is recorded or needs no record. urgent means
// that a first event waits for that.
func (r *Recorder) Record(bound binding.Binding, urgent bool) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := &queued{bound, clock.Now(), make(chan struct{})}
	r.Journal.noteEra(q.since)
	o := r.outbox(bound.Service)
	isCurrent := o.isCurrent && q.since.Sub(o.statedAt) < maxBaseAge
	if isCurrent && o.base.Version == bound.Version && !bound.IsExplicit {
		close(q.done)
		return q.done
	}
	o.queue = append(o.queue, q)
	if len(o.queue) > maxQueued {
		o.queue = slices.Delete(o.queue, 0, len(o.queue)-maxQueued)
	}
	r.send(bound.Service, o, urgent)
	return q.done
}

// outbox returns the outbox of a service. r.mu must be held.
func (r *Recorder) outbox(service string) *outbox {
	if r.byService == nil {
		r.byService = map[string]*outbox{}
	}
	o := r.byService[service]
	if o == nil {
		o = &outbox{urgent: make(chan struct{}, 1)}
		r.byService[service] = o
	}
	return o
}

// send starts the goroutine that empties an outbox, unless it runs. r.mu must be held.
func (r *Recorder) send(service string, o *outbox, urgent bool) {
	if !o.isSending {
		o.isSending = true
		go r.run(service, o)
	}
	if urgent {
		select {
		case o.urgent <- struct{}{}:
		default:
		}
	}
}

// Observe records which versions of a service are listed from now on. A base version that left the
// list may have been replaced before it is listed again.
func (r *Recorder) Observe(service string, versions map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.byService[service]; o != nil {
		o.isCurrent = o.isCurrent && versions[o.base.Version]
	}
	if len(versions) > 1 && r.Journal.isActive(service) {
		go r.prepare(service)
	}
}

// prepare has the journal of a service ready for records, if this process owns it: the first one would need
// two calls of the store more than all others.
func (r *Recorder) prepare(service string) {
	if r.Fleet.Owner(ownerKeyPrefix+service, nil, clock.Now()).Address != r.Fleet.Self().Address {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := r.Journal.Record(ctx, service, nil); err != nil {
		r.Log.Warn("the journal of a service is not prepared", "service", service, "error", err.Error())
	}
}

// Base returns the base version of a service that its journal's owner has stated last.
func (r *Recorder) Base(service string) Base {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.byService[service]; o != nil {
		return o.base
	}
	return Base{}
}

// unrecorded returns the streams whose bindings are queued.
func (r *Recorder) unrecorded() map[binding.Key]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := map[binding.Key]bool{}
	for _, o := range r.byService {
		for _, q := range o.queue {
			keys[q.Key] = true
		}
	}
	return keys
}

// IsFailing reports whether bindings of a service can't be recorded now.
func (r *Recorder) IsFailing(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.byService[service]
	return o != nil && len(o.queue) > 0 && clock.Since(o.queue[0].since) > failingAfter
}

// run sends what is queued until there is nothing left.
func (r *Recorder) run(service string, o *outbox) {
	backoff := retry.NewWithDelays(minRecordDelay, maxRecordDelay)
	failed := map[string]bool{}
	// isSelfFailing is set while this process can't write by itself either. The first owners that fail, as many
	// do after a restart of all gateways, delay a binding no further: its first event waits only for bindTimeout.
	isSelfFailing := false
	for {
		if len(failed) == 0 || isSelfFailing {
			o.gather()
		}
		list, ok := r.take(o)
		if !ok {
			return
		}
		owner := r.Fleet.Owner(ownerKeyPrefix+service, failed, clock.Now())
		if len(failed) >= maxFailedOwners {
			owner = r.Fleet.Self()
		}
		base, err := r.call(owner, service, list)
		if err != nil {
			r.Log.Warn("versions of streams are not recorded", "service", service, "streams", len(list), "owner", owner.Instance, "error", err.Error())
			if owner.Address == r.Fleet.Self().Address {
				clear(failed)
				isSelfFailing = true
			} else {
				failed[owner.Address] = true
			}
			if isSelfFailing {
				backoff.Wait(context.Background())
			}
			continue
		}
		clear(failed)
		isSelfFailing = false
		backoff.Reset()
		r.settle(o, base, list)
	}
}

// gather waits until bindings are to be sent.
func (o *outbox) gather() {
	timer := time.NewTimer(gatherDelay)
	defer timer.Stop()
	select {
	case <-o.urgent:
	case <-timer.C:
	}
}

// take returns the first bindings of a queue, which stay there. It returns false, and the sending has
// ended, if there are none.
func (r *Recorder) take(o *outbox) ([]*queued, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	o.queue = slices.DeleteFunc(o.queue, func(q *queued) bool { return !now.Before(q.ExpiresAt) })
	if len(o.queue) == 0 {
		o.isSending = false
		return nil, false
	}
	return slices.Clone(o.queue[:min(len(o.queue), maxPerCall)]), true
}

// call records bindings at the owner of a journal. An owner that has not answered lately is first checked to be
// there, since it may have ended without closing its connections.
func (r *Recorder) call(owner hookhall.Member, service string, list []*queued) (Base, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	streams := make([]binding.Binding, 0, len(list))
	for _, q := range list {
		streams = append(streams, q.Binding)
	}
	if owner.Address == r.Fleet.Self().Address {
		return r.Journal.Record(ctx, service, streams)
	}
	if !r.isThere(ctx, owner) {
		return Base{}, errNotThere
	}
	return r.callRemote(ctx, owner, service, streams)
}

// isThere reports whether another gateway has answered within answerTrust, or answers within pingTimeout.
func (r *Recorder) isThere(ctx context.Context, member hookhall.Member) bool {
	r.mu.Lock()
	at, ok := r.answeredAt[member.Address]
	r.mu.Unlock()
	if ok && clock.Since(at) < answerTrust {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return r.Remote(member.Address).Ping(ctx) == nil
}

// callRemote records bindings at another gateway.
func (r *Recorder) callRemote(ctx context.Context, owner hookhall.Member, service string, list []binding.Binding) (Base, error) {
	base, err := r.Remote(owner.Address).RecordStreams(ctx, service, list)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answeredAt == nil {
		r.answeredAt = map[string]time.Time{}
	}
	if err == nil {
		r.answeredAt[owner.Address] = clock.Now()
	} else {
		delete(r.answeredAt, owner.Address)
	}
	return base, err
}

// settle removes bindings that are recorded.
func (r *Recorder) settle(o *outbox, base Base, list []*queued) {
	recorded := map[*queued]bool{}
	for _, q := range list {
		recorded[q] = true
		close(q.done)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.queue = slices.DeleteFunc(o.queue, func(q *queued) bool { return recorded[q] })
	o.base, o.isCurrent, o.statedAt = base, base.IsKnown && r.isListed(list[0].Service, base.Version), clock.Now()
}

// isListed reports whether a version of a service is listed now.
func (r *Recorder) isListed(service, version string) bool {
	listed, _ := r.Journal.History.Within(service, 0, clock.Now())
	return slices.Contains(listed, version)
}

// Run records all streams again after each restore of the store from an older copy, until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	era := r.Journal.Era()
	for retry.Sleep(ctx, restoreCheckInterval) {
		now := r.Journal.Era()
		r.Journal.noteEra(clock.Now())
		if now != era { // 0 may be the first era, or that no answer was received
			r.recordAll()
		}
		era = now
	}
}

// recordAll queues all bindings that this process holds.
func (r *Recorder) recordAll() {
	r.mu.Lock()
	for _, o := range r.byService {
		o.isCurrent = false
	}
	r.mu.Unlock()
	for _, bound := range r.Table.All(clock.Now()) {
		r.Record(bound, false)
	}
}
