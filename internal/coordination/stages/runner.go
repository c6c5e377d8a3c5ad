// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

const (
	// maxBrokers is how many members are tried as broker of one stage; after them this
	// process acts as its broker.
	maxBrokers = 4
	// expectedWaitShare is the expected wait of a stage for its call, as a share of the
	// duration of that call.
	expectedWaitShare = 0.4
)

// Remote is a client of the broker in another process. Errors of Run that concern the
// connection are wrapped by WrapUnreachable.
type Remote interface {
	// Run calls Broker.Run.
	Run(ctx context.Context, w Work) ([]string, error)
	// Free calls Broker.FreeIfMemoryConstrained if ifMemoryConstrained is set, else Broker.Free.
	Free(ctx context.Context, service string, handles []string, ifMemoryConstrained bool) error
	// ReportHeld calls Broker.Adopt.
	ReportHeld(ctx context.Context, service string, results []hookhall.HeldResult) error
	// Ping returns nil if the process answers.
	Ping(ctx context.Context) error
}

// Fleet finds the members that act as brokers.
type Fleet interface {
	// Self returns this process.
	Self() hookhall.Member
	// Owner returns the member that owns key, leaving out the addresses in skip.
	Owner(key string, skip map[string]bool, now time.Time) hookhall.Member
	// Suspect records that a member did not answer.
	Suspect(address string, now time.Time)
}

// Runner runs the stages of requests at the brokers of their services. Its fields must be
// set before use; it is safe for concurrent use.
type Runner struct {
	Local *Broker // broker of this process
	Fleet Fleet
	// Remote returns the client of the broker at address.
	Remote func(address string) Remote
	// HallOf returns the hall of the target that made a result, "" if it is not known.
	HallOf func(handle string) string
	Log    *log.Logger
	Meter  Meter // nil counts nothing

	monitors monitors
	frees    pendingFrees
	reports  loadReports
	held     heldResults
}

// Graph describes the stages of one request.
type Graph struct {
	Call              *hookhall.Call
	Route             *hookhall.Route
	Table             *routetable.Table
	FirstByteDue      time.Time // latency target: when the answer should begin
	FirstByteDeadline time.Time // when the answer has to begin at the latest
	Urgency           int       // rank of the request, lower first
	// Content is the digest of the request content, and Account its client account.
	Content crashes.Digest
	Account string
	// TimeToFirstByte is how long the answer is expected to take to begin once all stages
	// are done.
	TimeToFirstByte time.Duration
	// TargetHall is the hall of the target that should run the request, "" for any.
	TargetHall string
	// BeforeStage is called before a stage begins after another one has ended, with the stages
	// that have begun. An error ends the request. It may be nil, and may be called by several
	// goroutines at the same time.
	BeforeStage func(begun []bool) error
}

// Results holds the handles that the request's target reads. A nil Results is empty. It is
// safe for concurrent use.
type Results struct {
	runner          *Runner
	handles         []string
	serviceByHandle map[string]string
	bytesByHall     map[string]float64
	releaseOnce     sync.Once
	isReleased      atomic.Bool
}

// Released reports whether Release was called.
func (r *Results) Released() bool { return r != nil && r.isReleased.Load() }

// BytesByHall returns how many bytes the target reads from each hall. The map must not be
// changed.
func (r *Results) BytesByHall() map[string]float64 {
	if r == nil {
		return nil
	}
	return r.bytesByHall
}

// Handles returns the handles in the order of stages and pieces.
func (r *Results) Handles() []string {
	if r == nil {
		return nil
	}
	return r.handles
}

// Release frees the results at the targets that store them; further calls have no effect.
func (r *Results) Release() {
	if r == nil {
		return
	}
	r.releaseOnce.Do(func() {
		r.isReleased.Store(true)
		handlesByService := map[string][]string{}
		for _, h := range r.handles {
			handlesByService[r.serviceByHandle[h]] = append(handlesByService[r.serviceByHandle[h]], h)
		}
		for service, list := range handlesByService {
			r.runner.free(service, list)
		}
	})
}

// Run runs all stages of g. Its error has the verdict NotRun, as the request itself has
// not run; the results of the stages that were done are freed.
func (r *Runner) Run(ctx context.Context, g Graph) (*Results, error) {
	e, err := newExecution(r, g)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.cancel = cancel
	var wg sync.WaitGroup
	for i := range g.Route.Stages {
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer close(e.done[i])
			e.runStage(ctx, i)
		}()
	}
	wg.Wait()
	return e.collectResults()
}

// brokerOf returns the address of the broker of a service, leaving out the addresses in
// skip, and whether that is this process.
func (r *Runner) brokerOf(service string, skip map[string]bool) (address string, isLocal bool) {
	now := clock.Now()
	member := r.Fleet.Owner(service, skip, now)
	if len(skip) == 0 {
		r.reports.recordBroker(service, member.Address, now)
	}
	return member.Address, member.Address == r.Fleet.Self().Address
}

// runAtBroker runs w at the broker of its service, or at the next one if that does not
// answer or has handed the pool over.
func (r *Runner) runAtBroker(ctx context.Context, w Work) ([]string, error) {
	skip := map[string]bool{}
	for range maxBrokers {
		address, isLocal := r.brokerOf(w.Service, skip)
		if isLocal {
			handles, err := r.runLocal(ctx, w)
			if errors.Is(err, ErrNotOwner) {
				continue
			}
			return handles, err
		}
		handles, err := r.runRemote(ctx, address, w)
		if err == nil {
			r.recordHeld(w, handles, address)
		}
		if errors.Is(err, ErrNotOwner) {
			skip[address] = true
			continue
		}
		if err == nil || ctx.Err() != nil || !errors.Is(err, errUnreachable) {
			return handles, err
		}
		r.Fleet.Suspect(address, clock.Now())
		r.reports.recheckBroker(w.Service)
		r.Log.Warn("broker unreachable; trying the next one", "request", w.RequestID, "stage", w.Stage, "service", w.Service, "broker", address, "error", err.Error())
		skip[address] = true
	}
	return r.runAsLastResort(ctx, w)
}

// errUnreachable marks errors of the connection to a broker, as opposed to those of the
// work.
var errUnreachable = errors.New("the broker does not answer")

// WrapUnreachable wraps an error of the connection to a broker, so that the next one is
// tried.
func WrapUnreachable(err error) error { return errors.Wrap(errUnreachable, err.Error()) }

// runRemote runs w at another process. The broker is monitored meanwhile, so that one that
// stops is noticed before the end of the stage.
func (r *Runner) runRemote(ctx context.Context, address string, w Work) ([]string, error) {
	ctx, end := r.monitors.watch(ctx, address, func(ctx context.Context) error { return r.ping(ctx, address) })
	defer end()
	handles, err := r.Remote(address).Run(ctx, w)
	if err != nil && errors.Is(context.Cause(ctx), errUnreachable) {
		return nil, context.Cause(ctx)
	}
	return handles, err
}

// ping pings the broker at address.
func (r *Runner) ping(ctx context.Context, address string) error {
	r.count(pingEvent, 1)
	err := r.Remote(address).Ping(ctx)
	if err != nil {
		r.count(failedPingEvent, 1)
		r.Log.Info("broker does not answer pings; ending all stage calls there", "broker", address, "error", err.Error())
	}
	return err
}
