// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	// ownerCheckInterval is how often a process checks who owns the pools that it brokers or
	// holds results of.
	ownerCheckInterval = 100 * time.Millisecond
	// handoverDelay is how long another member has to own a pool before its old broker hands
	// over: the others learn of a change of the list at about the same moment, and a member
	// that is suspected for a moment owns the pool again soon.
	handoverDelay = time.Second
	// redirectDuration is how long an old broker refuses work of peers after the handover. By
	// then all have the new list (maxSettleTime of package members). Peers that still send
	// work can't reach the owner, so that this process has to stand in.
	redirectDuration = 3 * time.Second
	// reportHeldTimeout bounds a call that reports held results, and reportHeldPause is the time
	// until it is repeated. With ownerCheckInterval, a second attempt is made within a second
	// of the change. Brokers of the previous version reject all reports.
	reportHeldTimeout = 400 * time.Millisecond
	reportHeldPause   = 300 * time.Millisecond
)

// ErrNotOwner is the error of work at a broker whose pool another member owns now. The work has
// not run, and is submitted to the next broker; this one is not suspected.
var ErrNotOwner = errors.New("another member is the broker of the pool now")

// HandoverMeter counts what happens when a pool gets another broker.
type HandoverMeter interface {
	// JobsHandedOver counts waiting jobs that an old broker ended for the new one.
	JobsHandedOver(service string, jobs int)
	// ResultsAdopted counts results of an earlier broker that a new one learned of.
	ResultsAdopted(service string, results int)
}

// ownership is what a broker knows of the owner of one of its queues.
type ownership struct {
	owned         bool      // this process was the owner at the last check, or handoverDelay has not passed since
	lostAt        time.Time // when another member was first seen as the owner after that; zero before
	redirectUntil time.Time // work of peers is refused until then
}

// RunHandover hands the waiting jobs of each pool over that another member owns for
// handoverDelay, until ctx ends. fleet finds the owners.
func (b *Broker) RunHandover(ctx context.Context, fleet Fleet) {
	for retry.Sleep(ctx, ownerCheckInterval) {
		b.mu.Lock()
		queues := make([]*serviceQueue, 0, len(b.queues))
		for _, q := range b.queues {
			queues = append(queues, q)
		}
		b.mu.Unlock()
		for _, q := range queues {
			now := clock.Now()
			q.checkOwner(fleet.Owner(q.service, nil, now).Address, fleet.Self().Address, now)
		}
	}
}

// checkOwner hands over if this process, self, has not owned the pool for handoverDelay. A
// process that was not the owner before stands in for a broker that some peers can't reach,
// and goes on.
func (q *serviceQueue) checkOwner(owner, self string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	o := &q.ownership
	switch {
	case owner == self:
		*o = ownership{owned: true}
	case !o.owned:
	case o.lostAt.IsZero():
		o.lostAt = now
	case now.Sub(o.lostAt) >= handoverDelay:
		*o = ownership{redirectUntil: now.Add(redirectDuration)}
		jobs := q.queue.HandOver()
		q.broker.log.Info("pool handed over to its new broker", "service", q.service, "owner", owner, "jobs", jobs)
		if q.broker.HandoverMeter != nil {
			q.broker.HandoverMeter.JobsHandedOver(q.service, jobs)
		}
	}
}

// RunForPeer calls Run for another process, unless this process has handed the pool over a
// short time ago: the peer does not know the new owner yet.
func (b *Broker) RunForPeer(ctx context.Context, w Work) ([]string, error) {
	q := b.queue(w.Service)
	q.mu.Lock()
	isRedirected := clock.Now().Before(q.ownership.redirectUntil)
	q.mu.Unlock()
	if isRedirected {
		return nil, ErrNotOwner
	}
	return b.Run(ctx, w)
}

// Adopt counts results that requests of a gateway hold at the targets of a pool and that an
// earlier broker knew, so that their memory is not used a second time. It ignores a service
// that is no pool by this process's table.
func (b *Broker) Adopt(service string, results []hookhall.HeldResult) {
	table := b.directory.Table()
	if table == nil {
		return
	}
	spec := table.Service(service)
	if spec == nil || spec.Pool == nil {
		return
	}
	targets, _, _ := b.rollouts.Usable(service, b.directory.Targets(service))
	q := b.queue(service)
	q.mu.Lock()
	q.configure(*spec.Pool, targets)
	adopted := q.queue.Adopt(results, b.pool.Holder, clock.Now())
	bytes, held := q.queue.HeldResults()
	q.mu.Unlock()
	if adopted == 0 {
		return
	}
	b.log.Info("results of an earlier broker adopted", "service", service, "reported", len(results), "adopted", adopted, "held", held, "held_mb", int(bytes/1e6))
	if b.HandoverMeter != nil {
		b.HandoverMeter.ResultsAdopted(service, adopted)
	}
}

// heldResults are the results that the requests of this process hold, by service and handle.
// The zero value is empty.
type heldResults struct {
	mu        sync.Mutex
	byService map[string]map[string]heldResult
	reporting map[string]bool // services for which a report is being sent
}

// heldResult is one of them.
type heldResult struct {
	bytes  float64
	expiry time.Time
	broker string // address of the process whose queue counts it
}

// recordHeld records the results of w, which the broker at an address has returned.
func (r *Runner) recordHeld(w Work, handles []string, broker string) {
	table := r.Local.directory.Table()
	if table == nil {
		return
	}
	service := table.Service(w.Service)
	if service == nil || service.Pool == nil {
		return
	}
	expiry := clock.Now().Add(service.Pool.ResultRetention)
	r.held.mu.Lock()
	defer r.held.mu.Unlock()
	if r.held.byService == nil {
		r.held.byService, r.held.reporting = map[string]map[string]heldResult{}, map[string]bool{}
	}
	if r.held.byService[w.Service] == nil {
		r.held.byService[w.Service] = map[string]heldResult{}
	}
	for _, handle := range handles {
		r.held.byService[w.Service][handle] = heldResult{w.ResultBytes, expiry, broker}
	}
}

// remove records that results are no longer held.
func (h *heldResults) remove(service string, handles []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, handle := range handles {
		delete(h.byService[service], handle)
	}
}

// unreported returns the results of a service that the queue of its broker does not count,
// and forgets those that have expired. It returns none while a report is being sent.
func (h *heldResults) unreported(service, broker string, now time.Time) []hookhall.HeldResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []hookhall.HeldResult
	for handle, result := range h.byService[service] {
		switch {
		case !now.Before(result.expiry):
			delete(h.byService[service], handle)
		case result.broker != broker && !h.reporting[service]:
			list = append(list, hookhall.HeldResult{Handle: handle, Bytes: result.bytes, Remaining: result.expiry.Sub(now)})
		}
	}
	if len(list) > 0 {
		h.reporting[service] = true
	}
	return list
}

// endReport records that a report to a broker has ended, and whether it arrived. It returns the
// handles of the reported results that were freed meanwhile.
func (h *heldResults) endReport(service, broker string, results []hookhall.HeldResult, arrived bool) (freed []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reporting[service] = false
	for _, r := range results {
		result, ok := h.byService[service][r.Handle]
		if !ok {
			freed = append(freed, r.Handle)
		} else if arrived {
			result.broker = broker
			h.byService[service][r.Handle] = result
		}
	}
	return freed
}

// services returns the services that results were held of.
func (h *heldResults) services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for service := range h.byService {
		list = append(list, service)
	}
	return list
}

// RunReports reports held results to the brokers that don't count them, because their pool had
// another broker when they were made, until ctx ends. A report that fails is repeated; while
// none arrives, the results are unknown to the broker until they expire.
func (r *Runner) RunReports(ctx context.Context) {
	for retry.Sleep(ctx, ownerCheckInterval) {
		for _, service := range r.held.services() {
			address, isLocal := r.brokerOf(service, nil)
			if results := r.held.unreported(service, address, clock.Now()); len(results) > 0 {
				go r.reportHeld(ctx, service, address, isLocal, results)
			}
		}
	}
}

// reportHeld sends one report.
func (r *Runner) reportHeld(ctx context.Context, service, address string, isLocal bool, results []hookhall.HeldResult) {
	var err error
	if isLocal {
		r.Local.Adopt(service, results)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, reportHeldTimeout)
		err = r.Remote(address).ReportHeld(callCtx, service, results)
		cancel()
	}
	if err != nil {
		r.Log.Debug("held results not reported to the new broker; trying again", "service", service, "broker", address, "results", len(results), "error", err.Error())
		retry.Sleep(ctx, reportHeldPause)
	}
	freed := r.held.endReport(service, address, results, err == nil)
	if len(freed) > 0 {
		// The report may have reached the broker after the call that freed them, or have arrived
		// although it failed here: the broker would count them until they expire.
		r.free(service, freed)
	}
	if err != nil {
		return
	}
	r.Log.Info("held results reported to the new broker", "service", service, "broker", address, "results", len(results))
}

// runLocal runs w at this process's broker. The error is ErrNotOwner if that hands the pool over
// meanwhile.
func (r *Runner) runLocal(ctx context.Context, w Work) ([]string, error) {
	handles, err := r.Local.Run(ctx, w)
	if err == nil {
		r.recordHeld(w, handles, r.Fleet.Self().Address)
	}
	return handles, err
}

// runAsLastResort runs w at this process's broker, because no other one could be asked. It
// submits w again after a handover, which leaves later work alone. Handovers are at least
// handoverDelay apart, and w ends at its deadline.
func (r *Runner) runAsLastResort(ctx context.Context, w Work) ([]string, error) {
	for {
		handles, err := r.runLocal(ctx, w)
		if !errors.Is(err, ErrNotOwner) {
			return handles, err
		}
	}
}
