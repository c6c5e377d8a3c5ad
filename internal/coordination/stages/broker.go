// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/batch"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

const (
	// callTimeoutMargin is the part of a call's timeout that does not depend on its expected
	// duration.
	callTimeoutMargin = 500 * time.Millisecond
	// callTimeoutFactor is the ratio of the rest of the timeout to the expected duration.
	callTimeoutFactor = 5
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// minFreeRetryDelay and maxFreeRetryDelay bound the delay before a call that frees results and
	// that failed is made again.
	minFreeRetryDelay = 100 * time.Millisecond
	maxFreeRetryDelay = 800 * time.Millisecond
)

// Directory provides the part of the catalog that the broker reads.
type Directory interface {
	// Table returns the current routing table, nil before the first one was loaded.
	Table() *routetable.Table
	// Targets returns the targets of a service as an immutable list.
	Targets(service string) []hookhall.Target
	// Evacuated reports whether a service has no targets only because the halls of its
	// targets are evacuated.
	Evacuated(service string) bool
}

// Quarantine tracks requests that crash the targets running them.
type Quarantine interface {
	// Standing returns the crashes recorded against the request that identity returns.
	Standing(identity func() crashes.Identity) crashes.Status
	// Suspect records that the answer of t to a request broke off.
	Suspect(i crashes.Identity, t hookhall.Target)
	// ServedPieces records that t completed a call for a request of an account with these piece
	// keys.
	ServedPieces(account string, keys []crashes.Part, t hookhall.Target)
	// HasCrashed reports whether t, whose answer broke off, has crashed.
	HasCrashed(t hookhall.Target) bool
}

// Rollouts selects the targets that may be used during a rollout of a service and counts
// the results of calls to them.
type Rollouts interface {
	// Usable returns those of targets that may be used, and the canary version among them
	// with its share of the calls, 0 to 1. canary is "" if there is none.
	Usable(service string, targets []hookhall.Target) (list []hookhall.Target, canary string, share float64)
	// Begin counts a call to t; it returns nil if no rollout concerns t.
	Begin(route string, t hookhall.Target) *rollouts.Attempt
}

// stageCallRoute is the route under which answers of stage pools are counted: a call
// serves requests of several routes.
const stageCallRoute = "(stage calls)"

// Broker holds the queues of the services that this process brokers, according to its
// own list of members or to that of another process. It is safe for concurrent use.
type Broker struct {
	directory  Directory
	pool       hookhall.StagePool
	quarantine Quarantine
	rollouts   Rollouts
	log        *log.Logger
	// Grants returns the limiter of the rate-limited targets of a service. It must be set
	// before the Broker is used.
	Grants func(service string) advisory.Grants
	// Meter counts dispatches; nil counts none. It must be set before the Broker is used.
	Meter Meter
	// HandoverMeter counts handovers; nil counts none. It must be set before the Broker is used.
	HandoverMeter HandoverMeter

	mu     sync.Mutex
	queues map[string]*serviceQueue
}

// NewBroker returns a Broker with empty queues and without rate limits.
func NewBroker(d Directory, p hookhall.StagePool, q Quarantine, r Rollouts, l *log.Logger) *Broker {
	none := advisory.Grants{Registry: &advisory.Registry{}}
	return &Broker{
		directory: d, pool: p, quarantine: q, rollouts: r, log: l, queues: map[string]*serviceQueue{},
		Grants: func(string) advisory.Grants { return none },
	}
}

// serviceQueue is the queue of one service with its lock.
type serviceQueue struct {
	broker  *Broker
	service string

	mu          sync.Mutex
	queue       *batch.Queue
	activeCalls int // calls in progress
	upcoming    upcomingWork
	overload    overloadObserver
	jobCount    int       // jobs that wait or run
	lastJobEnd  time.Time // when the last job ended
	// timer runs the scheduled dispatch at dispatchAt, which is zero if none is scheduled.
	timer      *time.Timer
	dispatchAt time.Time
	ownership  ownership
	// spec and targets are the arguments of the last queue.Configure.
	spec    hookhall.PoolSpec
	targets []hookhall.Target

	// cachedLoad is the last load that was measured, nil at first. It is read without mu.
	cachedLoad atomic.Pointer[hookhall.PoolLoad]
}

// queue returns the queue of a service and creates it if necessary.
func (b *Broker) queue(service string) *serviceQueue {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[service]
	if q == nil {
		q = &serviceQueue{broker: b, service: service, queue: batch.NewQueue(), upcoming: upcomingWork{}}
		b.queues[service] = q
	}
	return q
}

// Work is one stage of one request, as a broker runs it.
type Work struct {
	Service    string   // service of the stage
	RequestID  string   // id of the request
	Stage      int      // index in the route's stages
	PieceCount int      // number of pieces to make
	PieceKey   string   // piece key of the request; "" for stages that read results
	Inputs     []string // handles that each piece reads
	// Content is the digest of the request content, and Account its client account.
	Content     crashes.Digest
	Account     string
	ResultBytes float64 // approximate size of one result in bytes
	// LatestStart is the latest start with which the answer begins in time.
	LatestStart time.Time
	// Deadline is when the results must exist for the request to be served at all.
	Deadline time.Time
	Urgency  int // rank of the request, lower first
	// Hall is where the inputs are stored or the results will be read, "" for any;
	// CrossHallBytes is how many bytes pass between halls if the stage runs in another one.
	Hall           string
	CrossHallBytes float64
	// InputsExpire is when the first of the inputs expires, zero if that is not known.
	InputsExpire time.Time
	// Next has the stages of the request that will follow this one and that no other running
	// stage reports.
	Next []hookhall.UpcomingStage
	// OnInputsRead is called once when all inputs were read; from then on they are needed
	// only if a piece fails. It may be nil.
	OnInputsRead func()
}

// Run makes the pieces of w and returns their handles in order. When ctx ends, pieces
// that are not part of a call yet are cancelled. Errors have the verdict NotRun, and
// results of w that exist already are freed.
func (b *Broker) Run(ctx context.Context, w Work) ([]string, error) {
	q := b.queue(w.Service)
	done := make(chan batch.Outcome, 1)
	request := batch.Request{Content: w.Content, Account: w.Account}
	if w.PieceKey != "" && len(w.Inputs) == 0 {
		request.PieceKey = crashes.NewPart(w.Service, "", w.PieceKey)
	}
	job := &batch.Job{
		RequestID: w.RequestID, Stage: w.Stage, PieceCount: w.PieceCount, Key: w.PieceKey, Inputs: w.Inputs, ResultBytes: w.ResultBytes,
		LatestStart: w.LatestStart, Deadline: w.Deadline, Urgency: w.Urgency, Hall: w.Hall, CrossHallBytes: w.CrossHallBytes, InputsExpire: w.InputsExpire,
		Finish:  func(o batch.Outcome) { done <- o },
		Refused: b.refusal(request),
		Request: request,
	}
	if w.OnInputsRead != nil && len(w.Inputs) > 0 {
		job.InputsRead = func() { go w.OnInputsRead() }
	}
	q.add(job, &w)
	defer func() { q.endJob(&w, clock.Now()) }()
	select {
	case o := <-done:
		if o.Reason == "" {
			return o.Handles, nil
		}
		b.Free(w.Service, q.drop(job))
		if o.Reason == batch.HandedOver {
			return nil, ErrNotOwner
		}
		return nil, hookhall.Errorf(hookhall.NotRun, outcomeCause(o), "stage %d of %s: %s", w.Stage, w.Service, o.Reason)
	case <-ctx.Done():
		b.Free(w.Service, q.drop(job))
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "stage %d of %s was cancelled", w.Stage, w.Service)
	}
}

// refusal returns a function that reports whether a job of a request must not be sent to a
// target. It allocates nothing while no crash is recorded: a dispatch calls it for each
// waiting job.
func (b *Broker) refusal(r batch.Request) func(hookhall.Target) bool {
	i := r.Identity()
	identity := func() crashes.Identity { return i }
	return func(t hookhall.Target) bool {
		status := b.quarantine.Standing(identity)
		return status.Refused() && status.RefusedBy(t.Software())
	}
}

// outcomeCause returns the error cause for the failure of a job.
func outcomeCause(o batch.Outcome) hookhall.Cause {
	switch o.Reason {
	case hookhall.PieceExpired:
		return hookhall.CauseDeadline
	case hookhall.PieceNoTarget:
		return hookhall.CauseNoTarget
	case hookhall.PieceCrashes:
		return hookhall.CauseCrashes
	}
	return hookhall.CauseStage
}

// FreeIfMemoryConstrained frees results that are probably not needed any more, but only while
// other work waits for the memory that they occupy.
func (b *Broker) FreeIfMemoryConstrained(service string, handles []string) {
	q := b.queue(service)
	q.mu.Lock()
	isConstrained := q.queue.MemoryConstrained(clock.Now())
	q.mu.Unlock()
	if isConstrained {
		b.Free(service, handles)
	}
}

// Free frees results at the targets that store them and in the queue's accounting of
// their memory. It does not wait for the targets.
func (b *Broker) Free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	handlesByMaker := map[string][]string{}
	for _, h := range handles {
		maker := b.pool.Holder(h)
		handlesByMaker[maker] = append(handlesByMaker[maker], h)
	}
	for maker, list := range handlesByMaker {
		go b.freeAtTarget(service, maker, list)
	}
}

// freeAtTarget frees results at the target with the address maker. If the target can't be reached, it
// tries again until the target drops the results itself, as long as the same target is listed there:
// until then they take memory that the accounting counts as free.
func (b *Broker) freeAtTarget(service, maker string, handles []string) {
	q, began := b.queue(service), clock.Now()
	target, isListed := b.listedAt(service, maker)
	err := b.callFree(maker, handles)
	q.mu.Lock()
	q.queue.Free(handles)
	q.dispatchSoon()
	q.mu.Unlock()
	for delay := minFreeRetryDelay; err != nil && isListed && clock.Since(began)+delay < b.resultRetention(service); delay = min(2*delay, maxFreeRetryDelay) {
		time.Sleep(retry.Jitter(delay))
		if now, ok := b.listedAt(service, maker); !ok || now.Incarnation() != target.Incarnation() {
			return // its results have gone with it
		}
		err = b.callFree(maker, handles)
	}
	if err != nil {
		b.log.Debug("results not freed; the pool drops them when they expire", "service", service, "maker", maker, "results", len(handles), "error", err.Error())
	}
}

// resultRetention returns how long targets of a service keep results, 0 if that is not known.
func (b *Broker) resultRetention(service string) time.Duration {
	table := b.directory.Table()
	if table == nil {
		return 0
	}
	if spec := table.Service(service); spec != nil && spec.Pool != nil {
		return spec.Pool.ResultRetention
	}
	return 0
}

// callFree makes one call that frees results at the target with an address.
func (b *Broker) callFree(address string, handles []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	return b.pool.Free(ctx, address, handles)
}

// listedAt returns the target of a service that is listed with an address.
func (b *Broker) listedAt(service, address string) (t hookhall.Target, ok bool) {
	targets := b.directory.Targets(service)
	i := slices.IndexFunc(targets, func(t hookhall.Target) bool { return t.Address == address })
	if i < 0 {
		return hookhall.Target{}, false
	}
	return targets[i], true
}

// drop cancels a job and returns the handles of its results so far.
func (q *serviceQueue) drop(j *batch.Job) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Drop(j)
	return j.Handles()
}

// call makes a call and records its outcome. It first checks that the target may still be
// used: a process that is short of CPU time begins a call long after it chose the target,
// and another call may have used the rate of a limited target. usable has the usable targets
// when the call was chosen.
func (q *serviceQueue) call(b *batch.Batch, usable []hookhall.Target) {
	if !q.isUsable(b.Target, usable) {
		q.withdraw(b)
		return
	}
	grants, now := q.broker.Grants(q.service), clock.Now()
	if delayUntilCall(grants, b.Target, now) > 0 {
		q.withdraw(b)
		return
	}
	if _, ok := grants.Reserve(b.Target.Incarnation(), 0, now); !ok {
		q.withdraw(b)
		return
	}
	startedAt := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutFactor*b.Expected+callTimeoutMargin)
	stallTimer := time.AfterFunc(b.OverdueAfter, func() { q.retryOverdue(b) })
	readTimer := time.AfterFunc(b.InputsReadAfter, func() { q.recordInputsRead(b) })
	rolloutAttempt := q.broker.rollouts.Begin(stageCallRoute, b.Target)
	results, err := q.broker.pool.Make(ctx, b.Target, b.Pieces)
	rolloutAttempt.End()
	readTimer.Stop()
	stallTimer.Stop()
	cancel()
	isOwnPath := err != nil && hookhall.AsError(err).OwnPath
	if err == nil || (hookhall.AsError(err).Verdict != hookhall.NotRun && !isOwnPath) {
		rolloutAttempt.Answered(clock.Since(startedAt), err != nil || hasPieceError(results))
	}
	if err != nil {
		results = nil
		if hookhall.AsError(err).Cause == hookhall.CauseRefused {
			grants.Registry.RecordRejection(b.Target.Incarnation(), clock.Now())
		}
		q.broker.log.Warn("stage pool call failed", "service", q.service, "target", b.Target.ID,
			"pieces", len(b.Pieces), "first", b.Pieces[0].Call, "took", clock.Since(startedAt), "error", err.Error())
	}
	hasCrashed := q.recordAbort(b, err)
	if err == nil {
		q.recordServed(b)
	}
	q.mu.Lock()
	if hasCrashed {
		q.queue.TargetCrashed(b)
	}
	var unwanted []string
	if isOwnPath {
		q.queue.Withdraw(b) // the call says nothing about the target
	} else {
		unwanted = q.queue.Done(b, results, clock.Now())
	}
	q.activeCalls--
	q.dispatchSoon()
	waiting := q.queue.Waiting()
	bytes, held := q.queue.HeldResults()
	q.mu.Unlock()
	q.broker.log.Debug("stage pool call ended", "service", q.service, "target", b.Target.ID, "pieces", len(b.Pieces),
		"made", countMade(results), "took", clock.Since(startedAt), "expected", b.Expected, "waiting", waiting, "held", held, "held_mb", int(bytes/1e6))
	q.broker.Free(q.service, unwanted)
}

// isUsable reports whether the current incarnation of t, which was in the list usable before,
// may get calls.
func (q *serviceQueue) isUsable(t hookhall.Target, usable []hookhall.Target) bool {
	list, _, _ := q.broker.rollouts.Usable(q.service, q.broker.directory.Targets(q.service))
	return isSameList(list, usable) || slices.ContainsFunc(list, func(other hookhall.Target) bool { return other.ID == t.ID && other.Start == t.Start })
}

// withdraw returns the pieces of a call that is not made to the queue.
func (q *serviceQueue) withdraw(b *batch.Batch) {
	q.broker.log.Info("stage pool call withdrawn; its target may not be used now", "service", q.service, "target", b.Target.ID, "pieces", len(b.Pieces))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Withdraw(b)
	q.activeCalls--
	q.dispatchSoon()
}

// recordAbort reports the requests of a call that broke off to the quarantine, and returns
// whether the target refuses connections, that is, has crashed. It waits for that probe, so
// that the pieces are not retried before.
func (q *serviceQueue) recordAbort(b *batch.Batch, err error) bool {
	if err == nil || hookhall.AsError(err).Verdict != hookhall.MayHaveRun {
		return false
	}
	for _, r := range b.Requests() {
		q.broker.quarantine.Suspect(r.Identity(), b.Target)
	}
	return q.broker.quarantine.HasCrashed(b.Target)
}

// recordServed reports to the quarantine that the target of a call, which it completed, does not crash
// when it runs the keys of its pieces.
func (q *serviceQueue) recordServed(b *batch.Batch) {
	for _, r := range b.Requests() {
		if keys := r.Identity().Parts; len(keys) > 0 {
			q.broker.quarantine.ServedPieces(r.Account, keys, b.Target)
		}
	}
}

// recordInputsRead records that the target of a call has read all its inputs.
func (q *serviceQueue) recordInputsRead(b *batch.Batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.InputsRead(b, clock.Now())
}

// retryOverdue queues the pieces of a call that exceeded its stall timeout for other
// targets, too. The first result counts.
func (q *serviceQueue) retryOverdue(b *batch.Batch) {
	q.mu.Lock()
	isRetried := q.queue.MarkOverdue(b)
	if isRetried {
		q.dispatchSoon()
	}
	q.mu.Unlock()
	if isRetried {
		q.broker.log.Warn("stage pool call overdue; its pieces are retried at other targets as well",
			"service", q.service, "target", b.Target.ID, "pieces", len(b.Pieces), "expected", b.Expected, "patience", b.OverdueAfter)
	}
}

// hasPieceError reports whether the target failed to make a piece through its own fault.
func hasPieceError(results []hookhall.PieceResult) bool {
	return slices.ContainsFunc(results, func(r hookhall.PieceResult) bool { return r.Failure == hookhall.PieceError })
}

// countMade returns how many pieces were made.
func countMade(results []hookhall.PieceResult) int {
	n := 0
	for _, r := range results {
		if r.Handle != "" {
			n++
		}
	}
	return n
}
