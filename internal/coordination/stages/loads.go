// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// loadCacheTime is how long a broker reports the same load of a pool: each of several
	// hundred replies a second contains it, and decisions are made on loads up to
	// maxLoadAge old. It is also how long Runner.Loads uses the broker that it found.
	loadCacheTime = 20 * time.Millisecond
	// maxLoadAge is the age up to which a report is used: pools take some four calls a
	// second, so that an older one says little about the present.
	maxLoadAge = time.Second
	// takeoverTime is how long the load of a new broker is not used. Its arrivals are averaged
	// over a second, and it lacks the jobs that other processes still have at its predecessor.
	takeoverTime = time.Second
	// idleReportTime is how long after its last job a pool is still part of the reports of all
	// pools, so that processes know that it is idle. After that, they have no report and admit
	// all requests, as with a report of an idle pool.
	idleReportTime = 10 * time.Second
	// forgetLoadTime is the age from which a report is removed.
	forgetLoadTime = time.Minute
)

// upcomingWork counts the work for other pools that follows the jobs of a queue, by service.
type upcomingWork map[string]*[hookhall.UrgencyLevels]int

// add adds the stages that follow a job of the given urgency, or removes them if sign is -1.
func (u upcomingWork) add(stages []hookhall.UpcomingStage, urgency, sign int) {
	for _, s := range stages {
		pieces := u[s.Service]
		if pieces == nil {
			pieces = &[hookhall.UrgencyLevels]int{}
			u[s.Service] = pieces
		}
		pieces[hookhall.UrgencyLevel(urgency)] += sign * s.Pieces
		if *pieces == ([hookhall.UrgencyLevels]int{}) {
			delete(u, s.Service)
		}
	}
}

// list returns the work as part of a load report, sorted by service.
func (u upcomingWork) list() []hookhall.UpcomingWork {
	var list []hookhall.UpcomingWork
	for service, pieces := range u {
		list = append(list, hookhall.UpcomingWork{Service: service, Pieces: *pieces})
	}
	slices.SortFunc(list, func(a, b hookhall.UpcomingWork) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Load returns the load of the pool of a service, which is at most loadCacheTime old, and
// false if this process has had neither jobs nor results to free of the service. The caller
// must not change Upcoming.
func (b *Broker) Load(service string, now time.Time) (hookhall.PoolLoad, bool) {
	b.mu.Lock()
	q := b.queues[service]
	b.mu.Unlock()
	if q == nil {
		return hookhall.PoolLoad{}, false
	}
	return q.currentLoad(now), true
}

// Loads returns the loads of the pools that had a job in the last idleReportTime, sorted by
// service.
func (b *Broker) Loads(now time.Time) []hookhall.PoolLoad {
	b.mu.Lock()
	var queues []*serviceQueue
	for _, q := range b.queues {
		queues = append(queues, q)
	}
	b.mu.Unlock()
	var list []hookhall.PoolLoad
	for _, q := range queues {
		if q.hadJobSince(now.Add(-idleReportTime)) {
			list = append(list, q.currentLoad(now))
		}
	}
	slices.SortFunc(list, func(a, b hookhall.PoolLoad) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// hadJobSince reports whether the queue has had a job in progress at t or later.
func (q *serviceQueue) hadJobSince(t time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.jobCount > 0 || !q.lastJobEnd.Before(t)
}

// currentLoad returns the load of the queue, measured at most loadCacheTime before now.
func (q *serviceQueue) currentLoad(now time.Time) hookhall.PoolLoad {
	if l := q.cachedLoad.Load(); l != nil && now.Sub(l.MeasuredAt) < loadCacheTime {
		return *l
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.cachedLoad.Load(); l != nil && now.Sub(l.MeasuredAt) < loadCacheTime {
		return *l // another goroutine measured it meanwhile
	}
	if q.jobCount == 0 {
		q.refresh(now) // dispatches do it while there are jobs
	}
	l := q.queue.Load(now)
	l.Service, l.Upcoming, l.MeasuredAt = q.service, q.upcoming.list(), now
	q.cachedLoad.Store(&l)
	return l
}

// beginJob counts a job and the work that follows it. q.mu must be held.
func (q *serviceQueue) beginJob(w *Work) {
	q.jobCount++
	q.upcoming.add(w.Next, w.Urgency, 1)
}

// endJob ends the count of a job and of the work that follows it.
func (q *serviceQueue) endJob(w *Work, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.jobCount--
	q.lastJobEnd = now
	q.upcoming.add(w.Next, w.Urgency, -1)
}

// loadReports holds the latest reports of brokers, and which broker each service has. The
// zero value is empty. It is safe for concurrent use.
type loadReports struct {
	byPool sync.Map // reportKey to *hookhall.PoolLoad
	terms  sync.Map // name of the service to *brokerTerm
}

// reportKey identifies a pool as one broker reports it.
type reportKey struct{ service, broker string }

// brokerTerm is the time during which a member is the broker of a service, as this process
// sees it.
type brokerTerm struct {
	broker    string
	since     time.Time    // zero if it was the broker when this process first looked
	checkedAt atomic.Int64 // clock.Stamp of when it was last found to be the broker, 0 for outdated
}

// isChecked reports whether the term was checked less than loadCacheTime before now. Finding
// the broker of a service takes 53 us with 330 members.
func (t *brokerTerm) isChecked(now time.Time) bool {
	return clock.Stamp(now)-t.checkedAt.Load() < int64(loadCacheTime)
}

// store keeps a report if it is newer than the last one of the same broker and service. A
// first report removes reports that are too old for any use.
func (r *loadReports) store(broker string, load hookhall.PoolLoad) {
	key := reportKey{load.Service, broker}
	for {
		previous, ok := r.byPool.LoadOrStore(key, &load)
		if !ok {
			r.removeBefore(load.MeasuredAt.Add(-forgetLoadTime))
			return
		}
		if !load.MeasuredAt.After(previous.(*hookhall.PoolLoad).MeasuredAt) || r.byPool.CompareAndSwap(key, previous, &load) {
			return
		}
	}
}

// removeBefore removes the reports that were measured before t.
func (r *loadReports) removeBefore(t time.Time) {
	r.byPool.Range(func(key, load any) bool {
		if load.(*hookhall.PoolLoad).MeasuredAt.Before(t) {
			r.byPool.CompareAndDelete(key, load)
		}
		return true
	})
}

// latest returns the latest report of a broker, of any age.
func (r *loadReports) latest(service, broker string) (hookhall.PoolLoad, bool) {
	if load, ok := r.byPool.Load(reportKey{service, broker}); ok {
		return *load.(*hookhall.PoolLoad), true
	}
	return hookhall.PoolLoad{}, false
}

// term returns the last recorded term of a service, nil if there is none.
func (r *loadReports) term(service string) *brokerTerm {
	if term, ok := r.terms.Load(service); ok {
		return term.(*brokerTerm)
	}
	return nil
}

// recordBroker records that a service has a broker at now, and returns its term.
func (r *loadReports) recordBroker(service, broker string, now time.Time) *brokerTerm {
	term := r.term(service)
	if term == nil || term.broker != broker {
		next := &brokerTerm{broker: broker}
		if term != nil {
			next.since = now
		}
		r.terms.Store(service, next)
		term = next
	}
	term.checkedAt.Store(clock.Stamp(now))
	return term
}

// recheckBroker makes the next use of a term look for the broker again, as the last one did
// not answer.
func (r *loadReports) recheckBroker(service string) {
	if term := r.term(service); term != nil {
		term.checkedAt.Store(0)
	}
}

// ObserveLoads records the loads of pools that the broker at an address reports.
func (r *Runner) ObserveLoads(broker string, loads []hookhall.PoolLoad) {
	r.count(loadReportEvent, len(loads))
	for _, load := range loads {
		r.reports.store(broker, load)
	}
}

// Loads returns the latest load of the pool of a service that its broker has reported, or
// that of this process if it is the broker. It returns false if there is no report, if the
// report is older than maxLoadAge, or if the broker has become the broker of the service
// less than takeoverTime ago. A change of the broker is noticed within loadCacheTime. The
// caller must not change Upcoming.
func (r *Runner) Loads(service string, now time.Time) (hookhall.PoolLoad, bool) {
	term := r.reports.term(service)
	if term == nil || !term.isChecked(now) {
		term = r.reports.recordBroker(service, r.Fleet.Owner(service, nil, now).Address, now)
	}
	if now.Sub(term.since) < takeoverTime {
		return hookhall.PoolLoad{}, false
	}
	if term.broker == r.Fleet.Self().Address {
		return r.Local.Load(service, now)
	}
	load, ok := r.reports.latest(service, term.broker)
	return load, ok && now.Sub(load.MeasuredAt) <= maxLoadAge
}

// PoolReports has the latest known load of each pool, by service, in the state dump of a
// process.
type PoolReports map[string]PoolReport

// PoolReport is the latest known load of a pool.
type PoolReport struct {
	Broker   string                          `json:"broker"`
	AgeMS    int64                           `json:"age_ms"`
	Waiting  [hookhall.UrgencyLevels]int     `json:"waiting"`
	Arriving [hookhall.UrgencyLevels]float64 `json:"arriving"`
	Upcoming map[string][]int                `json:"upcoming,omitempty"`
	Rate     float64                         `json:"rate"`
	// Used is set if Runner.Loads returns this report.
	Used bool `json:"used"`
}

// PoolReports returns, by service, the latest load known of each pool: that of its present
// broker, of any age, if there is one.
func (r *Runner) PoolReports(now time.Time) PoolReports {
	reports := PoolReports{}
	add := func(broker string, load hookhall.PoolLoad) {
		previous, isKnown := reports[load.Service]
		owner := r.Fleet.Owner(load.Service, nil, now).Address
		age := now.Sub(load.MeasuredAt).Milliseconds()
		if isKnown && broker != owner && (previous.Broker == owner || previous.AgeMS <= age) {
			return
		}
		report := PoolReport{Broker: broker, AgeMS: age, Waiting: load.Waiting, Arriving: load.Arriving, Rate: load.Rate}
		for _, u := range load.Upcoming {
			if report.Upcoming == nil {
				report.Upcoming = map[string][]int{}
			}
			report.Upcoming[u.Service] = u.Pieces[:]
		}
		_, isUsed := r.Loads(load.Service, now)
		report.Used = isUsed && broker == owner
		reports[load.Service] = report
	}
	for _, load := range r.Local.Loads(now) {
		add(r.Fleet.Self().Address, load)
	}
	r.reports.byPool.Range(func(key, load any) bool {
		add(key.(reportKey).broker, *load.(*hookhall.PoolLoad))
		return true
	})
	return reports
}
