// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/batch"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

const (
	// callSlack is added to the longest time that a call may take.
	callSlack = 500 * time.Millisecond
	// callPatience is how many times the expected time a call may take.
	callPatience = 5
	// freeTime bounds a call that releases results.
	freeTime = time.Second
	// rekick is how often a queue with work and no free target is looked at.
	rekick = 15 * time.Millisecond
)

// Directory is what the broker reads of the catalog.
type Directory interface {
	Table() *routetable.Table
	Targets(pool string) []hookhall.Target
	// Evacuated tells whether only evacuations keep a service without targets.
	Evacuated(pool string) bool
}

// Quarantine knows the requests that end the targets which work on them.
type Quarantine interface {
	// Standing is what is held against a request's content.
	Standing(content func() crashes.Digest) crashes.Standing
	// Broke takes in that t's answer to a content broke off.
	Broke(content crashes.Digest, account string, t hookhall.Target)
	// Ended tells whether a target has ended whose answer broke off.
	Ended(t hookhall.Target) bool
}

// Rollouts knows which targets may be used while a service moves to another version, and
// counts what their answers show.
type Rollouts interface {
	// Usable are those of a service's targets that may be used, and the version among them
	// that is on trial with its share of the calls, "" for none.
	Usable(service string, targets []hookhall.Target) (list []hookhall.Target, trial string, share float64)
	// Begin counts a call to a target; nil when no order concerns it.
	Begin(route string, t hookhall.Target) *rollouts.Use
}

// stageCalls stands for a route where answers of stage pools are counted.
const stageCalls = "(stage calls)"

// Broker holds the queues of the services that this process brokers, by its own
// list of members or by another process's.
type Broker struct {
	directory  Directory
	pool       hookhall.StagePool
	quarantine Quarantine
	rollouts   Rollouts
	log        *log.Logger
	// Grants gives out the rates of limited targets of a service. Set before use.
	Grants func(service string) advisory.Grants

	mu     sync.Mutex
	queues map[string]*serviceQueue
}

// NewBroker makes a Broker without work.
func NewBroker(d Directory, p hookhall.StagePool, q Quarantine, r Rollouts, l *log.Logger) *Broker {
	none := advisory.Grants{Book: &advisory.Book{}}
	return &Broker{
		directory: d, pool: p, quarantine: q, rollouts: r, log: l, queues: map[string]*serviceQueue{},
		Grants: func(string) advisory.Grants { return none },
	}
}

// serviceQueue is one service's queue with its lock.
type serviceQueue struct {
	broker  *Broker
	service string

	mu    sync.Mutex
	queue *batch.Queue
	timer bool // a later look is due
	// spec and targets are what the queue was last configured with.
	spec    hookhall.PoolSpec
	targets []hookhall.Target
}

func (b *Broker) queue(service string) *serviceQueue {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queues[service]
	if q == nil {
		q = &serviceQueue{broker: b, service: service, queue: batch.NewQueue()}
		b.queues[service] = q
	}
	return q
}

// Work is one stage of one request, for a broker.
type Work struct {
	Service string
	Call    string
	Stage   int
	Pieces  int
	Key     string
	Inputs  []string
	// Content is the digest of the request, and Account whose it is.
	Content crashes.Digest
	Account string
	Bytes   float64
	Due     time.Time
	End     time.Time
	Urgency int
	// Hall is where the work's data lies or will be read, "" for any; Cross is how
	// many bytes go between halls when it is made in another one.
	Hall  string
	Cross float64
	// InputsRead is called once when all inputs were read, and are needed only if a
	// piece fails; nil when nobody asks.
	InputsRead func()
}

// Run makes the pieces of w and returns their handles. When ctx ends, pieces that
// are in no call yet are cancelled.
func (b *Broker) Run(ctx context.Context, w Work) ([]string, error) {
	q := b.queue(w.Service)
	done := make(chan batch.Outcome, 1)
	job := &batch.Job{
		Call: w.Call, Stage: w.Stage, Count: w.Pieces, Key: w.Key, Inputs: w.Inputs, Bytes: w.Bytes,
		Due: w.Due, End: w.End, Urgency: w.Urgency, Hall: w.Hall, Cross: w.Cross,
		Finish:  func(o batch.Outcome) { done <- o },
		Refused: func(t hookhall.Target) bool { return b.standing(w.Content).RefusedBy(t.Software()) },
		Request: batch.Request{Content: w.Content, Account: w.Account},
	}
	if w.InputsRead != nil && len(w.Inputs) > 0 {
		job.InputsRead = func() { go w.InputsRead() }
	}
	q.add(job)
	select {
	case o := <-done:
		if o.Reason == "" {
			return o.Handles, nil
		}
		b.Free(w.Service, q.drop(job))
		return nil, hookhall.Errorf(hookhall.NotRun, outcomeCause(o), "stage %d of %s: %s", w.Stage, w.Service, o.Reason)
	case <-ctx.Done():
		b.Free(w.Service, q.drop(job))
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "stage %d of %s was cancelled", w.Stage, w.Service)
	}
}

// standing is what is held against a request's content.
func (b *Broker) standing(content crashes.Digest) crashes.Standing {
	return b.quarantine.Standing(func() crashes.Digest { return content })
}

// outcomeCause is the cause of a job's failure.
func outcomeCause(o batch.Outcome) hookhall.Cause {
	switch o.Reason {
	case hookhall.PieceLate:
		return hookhall.CauseDeadline
	case hookhall.PieceNoTarget:
		return hookhall.CauseNoTarget
	case hookhall.PieceCrashes:
		return hookhall.CauseCrashes
	}
	return hookhall.CauseStage
}

// FreeIfCrowded releases results that are probably not needed any more, but only
// while other work waits for the room that they take up.
func (b *Broker) FreeIfCrowded(service string, handles []string) {
	q := b.queue(service)
	q.mu.Lock()
	crowded := q.queue.Crowded(clock.Now())
	q.mu.Unlock()
	if crowded {
		b.Free(service, handles)
	}
}

// Free releases results at the targets that hold them, and in the queue's account
// of their room.
func (b *Broker) Free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	byMaker := map[string][]string{}
	for _, h := range handles {
		m := b.pool.Maker(h)
		byMaker[m] = append(byMaker[m], h)
	}
	for m, list := range byMaker {
		go b.freeAt(service, m, list)
	}
}

func (b *Broker) freeAt(service, maker string, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTime)
	defer cancel()
	if err := b.pool.Free(ctx, maker, handles); err != nil {
		b.log.Debug("Results could not be released; the pool drops them when they expire.", "service", service, "maker", maker, "results", len(handles), "error", err.Error())
	}
	q := b.queue(service)
	q.mu.Lock()
	q.queue.Free(handles)
	q.mu.Unlock()
	q.kick()
}

func (q *serviceQueue) add(j *batch.Job) {
	q.mu.Lock()
	q.queue.Add(j)
	q.mu.Unlock()
	q.kick()
}

func (q *serviceQueue) drop(j *batch.Job) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Drop(j)
	return j.Handles()
}

// kick makes the calls that can be made now.
func (q *serviceQueue) kick() {
	table := q.broker.directory.Table()
	if table == nil {
		return
	}
	spec := hookhall.PoolSpec{Batch: 1, Slots: 1}
	if s := table.Service(q.service); s != nil && s.Pool != nil {
		spec = *s.Pool
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	targets, trial, share := q.broker.rollouts.Usable(q.service, q.broker.directory.Targets(q.service))
	q.configure(spec, targets)
	q.queue.Try(trial, share)
	q.admit(clock.Now())
	if q.broker.directory.Evacuated(q.service) {
		q.queue.Abandon()
	}
	for _, b := range q.queue.Next(clock.Now()) {
		go q.call(b)
	}
	if q.queue.Waiting() > 0 && !q.timer {
		q.timer = true
		time.AfterFunc(rekick, q.look)
	}
}

// configure passes on what has changed. The directory's lists are immutable, and looking
// through thousands of targets for each call would take most of a broker's time. The
// caller holds q.mu.
func (q *serviceQueue) configure(spec hookhall.PoolSpec, targets []hookhall.Target) {
	same := len(targets) == len(q.targets) && (len(targets) == 0 || &targets[0] == &q.targets[0])
	if same && spec == q.spec {
		return
	}
	q.spec, q.targets = spec, targets
	q.queue.Configure(spec, targets)
}

func (q *serviceQueue) look() {
	q.mu.Lock()
	q.timer = false
	q.mu.Unlock()
	q.kick()
}

// call makes a call, unless its target may not be used any more: a process that is short
// of its processor begins a call long after it chose the target, and another call may have
// taken a limited target's turn.
func (q *serviceQueue) call(b *batch.Batch) {
	if !q.usable(b.Target) {
		q.withdraw(b)
		return
	}
	grants, now := q.broker.Grants(q.service), clock.Now()
	if untilCall(grants, b.Target, now) > 0 {
		q.withdraw(b)
		return
	}
	if _, ok := grants.Reserve(b.Target.Life(), 0, now); !ok {
		q.withdraw(b)
		return
	}
	began := clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callPatience*b.Expected+callSlack)
	patience := time.AfterFunc(b.Patience, func() { q.overdue(b) })
	read := time.AfterFunc(b.ReadBy, func() { q.inputsRead(b) })
	counted := q.broker.rollouts.Begin(stageCalls, b.Target)
	results, err := q.broker.pool.Make(ctx, b.Target, b.Pieces)
	counted.End()
	read.Stop()
	patience.Stop()
	cancel()
	if err == nil || hookhall.AsError(err).Verdict != hookhall.NotRun {
		counted.Answered(clock.Since(began), err != nil || failed(results))
	}
	if err != nil {
		results = nil
		q.broker.log.Warn("A call of a stage pool failed.", "service", q.service, "target", b.Target.ID,
			"pieces", len(b.Pieces), "first", b.Pieces[0].Call, "took", clock.Since(began), "error", err.Error())
	}
	ended := q.broke(b, err)
	q.mu.Lock()
	if ended {
		q.queue.Ended(b)
	}
	unwanted := q.queue.Done(b, results, clock.Now())
	waiting := q.queue.Waiting()
	bytes, held := q.queue.Held()
	q.mu.Unlock()
	q.broker.log.Debug("A call of a stage pool ended.", "service", q.service, "target", b.Target.ID, "pieces", len(b.Pieces),
		"made", made(results), "took", clock.Since(began), "expected", b.Expected, "waiting", waiting, "held", held, "held_mb", int(bytes/1e6))
	q.broker.Free(q.service, unwanted)
	q.kick()
}

// usable tells whether a target's present life may get calls.
func (q *serviceQueue) usable(t hookhall.Target) bool {
	list, _, _ := q.broker.rollouts.Usable(q.service, q.broker.directory.Targets(q.service))
	return slices.ContainsFunc(list, func(o hookhall.Target) bool { return o.ID == t.ID && o.Born == t.Born })
}

// withdraw has the pieces of a call that is not made wait for another one.
func (q *serviceQueue) withdraw(b *batch.Batch) {
	q.broker.log.Info("A call of a stage pool is not made; its target may not be used now.", "service", q.service, "target", b.Target.ID, "pieces", len(b.Pieces))
	q.mu.Lock()
	q.queue.Withdraw(b)
	q.mu.Unlock()
	q.kick()
}

// broke takes in how a call ended, and tells whether its target has ended. Before that is
// known the pieces are not asked for again.
func (q *serviceQueue) broke(b *batch.Batch, err error) bool {
	if err == nil || hookhall.AsError(err).Verdict != hookhall.MayHaveRun {
		return false
	}
	for _, r := range b.Requests() {
		q.broker.quarantine.Broke(r.Content, r.Account, b.Target)
	}
	return q.broker.quarantine.Ended(b.Target)
}

// inputsRead tells of the jobs that have read all their inputs.
func (q *serviceQueue) inputsRead(b *batch.Batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.InputsRead(b, clock.Now())
}

// overdue has the pieces of a call that takes too long made elsewhere, too.
func (q *serviceQueue) overdue(b *batch.Batch) {
	q.mu.Lock()
	again := q.queue.Overdue(b)
	q.mu.Unlock()
	if again {
		q.broker.log.Warn("A call of a stage pool takes too long; its pieces are asked of others, too.",
			"service", q.service, "target", b.Target.ID, "pieces", len(b.Pieces), "expected", b.Expected, "patience", b.Patience)
		q.kick()
	}
}

// failed tells whether a target failed with pieces for a reason of its own.
func failed(results []hookhall.PieceResult) bool {
	return slices.ContainsFunc(results, func(r hookhall.PieceResult) bool { return r.Failure == hookhall.PieceError })
}

// made counts the pieces that were made.
func made(results []hookhall.PieceResult) int {
	n := 0
	for _, r := range results {
		if r.Handle != "" {
			n++
		}
	}
	return n
}
