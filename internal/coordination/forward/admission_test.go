// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/quota"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// The fakes of an admissionFixture.
type (
	// fakeLoads has reports by service and counts how often it is asked.
	fakeLoads struct {
		mu    sync.Mutex
		loads map[string]hookhall.PoolLoad
		asked int
	}
	// fakeStages records the graphs that are submitted, and fails them.
	fakeStages struct{ graphs []stages.Graph }
	// fakeCatalog has a table and no targets.
	fakeCatalog struct {
		table    *routetable.Table
		tableAge time.Duration
	}
	// fakeMeter counts decisions by outcome, reason and urgency.
	fakeMeter struct{ counts map[string]int }
	// noCrashes has no crashes recorded.
	noCrashes struct{}
)

func (f *fakeLoads) Loads(service string, _ time.Time) (hookhall.PoolLoad, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	load, ok := f.loads[service]
	return load, ok
}

// errSubmitted is returned for all graphs that are submitted.
var errSubmitted = hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "submitted")

func (f *fakeStages) Run(_ context.Context, g stages.Graph) (*stages.Results, error) {
	f.graphs = append(f.graphs, g)
	return nil, errSubmitted
}

func (f fakeCatalog) Table() *routetable.Table { return f.table }
func (f fakeCatalog) AgedTable(time.Time) (*routetable.Table, time.Duration) {
	return f.table, f.tableAge
}
func (fakeCatalog) Targets(string) []hookhall.Target              { return nil }
func (fakeCatalog) Departing(string, time.Time) []hookhall.Target { return nil }
func (fakeCatalog) TargetsAge(time.Time) time.Duration            { return 0 }
func (fakeCatalog) TimeSinceAnswer(time.Time) time.Duration       { return 0 }
func (fakeCatalog) Evacuated(string) bool                         { return false }

func (*fakeMeter) UnfinishedStream(hookhall.Framing)                         {}
func (*fakeMeter) Forwarded(string, string, hookhall.Verdict, time.Duration) {}
func (*fakeMeter) Retried(string)                                            {}
func (m *fakeMeter) RefusedByTable(cause string, age time.Duration, listed bool) {
	m.counts[fmt.Sprintf("%s %v %v", cause, age, listed)]++
}
func (m *fakeMeter) Admission(outcome, reason string, urgency int) {
	m.counts[fmt.Sprintf("%s %s %d", outcome, reason, urgency)]++
}

func (noCrashes) Standing(func() crashes.Identity) crashes.Status       { return crashes.Status{} }
func (noCrashes) Suspect(crashes.Identity, hookhall.Target)             {}
func (noCrashes) Running(crashes.Identity)                              {}
func (noCrashes) Served(crashes.Identity, hookhall.Target)              {}
func (noCrashes) EndedWithConnection(crashes.Identity, hookhall.Target) {}

// admissionFixture is a Forwarder for a route with two stages of 2 and 3 pieces.
type admissionFixture struct {
	*Forwarder
	loads  *fakeLoads
	stages *fakeStages
	meter  *fakeMeter
	lines  *bytes.Buffer
}

// newAdmissionFixture returns a fixture in which pieces wait at the second pool, which makes
// 1,000 a second.
func newAdmissionFixture(mode AdmissionMode, waiting int) *admissionFixture {
	pool := &hookhall.PoolSpec{Slots: 1, MaxBatch: 20, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond}
	table := routetable.Compile(&hookhall.Routing{
		Services: []hookhall.Service{{Name: "engine"}, {Name: "first", Pool: pool}, {Name: "second", Pool: pool}},
		Routes: []hookhall.Route{
			{
				Name: "staged", Host: "h", Prefix: "/", Timeout: 9 * time.Second, LatencyObjective: time.Second, Priority: 2, Public: true,
				Backends: []hookhall.WeightedService{{Service: "engine", Weight: 1}},
				Stages:   []hookhall.StageSpec{{Service: "first"}, {Service: "second", InputStages: []int{0}}},
			},
			{Name: "plain", Host: "h", Prefix: "/plain/", LatencyObjective: time.Second, Public: true, Backends: []hookhall.WeightedService{{Service: "engine", Weight: 1}}},
		},
	})
	f := &admissionFixture{loads: &fakeLoads{loads: map[string]hookhall.PoolLoad{}}, stages: &fakeStages{}, meter: &fakeMeter{map[string]int{}}, lines: &bytes.Buffer{}}
	f.loads.loads["first"] = hookhall.PoolLoad{Service: "first", Rate: 1000, MeasuredAt: clock.Now()}
	second := hookhall.PoolLoad{Service: "second", Rate: 1000, MeasuredAt: clock.Now()}
	second.Waiting[1] = waiting
	f.loads.loads["second"] = second
	f.Forwarder = &Forwarder{
		Catalog: fakeCatalog{table: table}, Stages: f.stages, Quarantine: noCrashes{}, Meter: f.meter, Log: log.New(f.lines),
		Budget:    budget.New(budget.Limits{Ratio: 0.1, Window: time.Second}, func(time.Time) quota.Position { return quota.Position{} }, clock.Now()),
		Admission: &Admission{Mode: mode, Loads: f.loads, LateLast: true},
	}
	return f
}

// call sends a request and returns its error.
func (f *admissionFixture) call(t *testing.T) *hookhall.Error {
	t.Helper()
	return hookhall.AsError(f.Serve(t.Context(), &hookhall.Call{Host: "h", URI: "/x", CallInfo: hookhall.CallInfo{ID: "call", PieceCounts: []int{2, 3}}}, nil))
}

// TestAdmission guards against requests that run stages although their path can't serve them in
// time, and against refusals without evidence, or in a mode that refuses nothing.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		mode    AdmissionMode
		waiting int
		prepare func(f *admissionFixture)
		refused bool
		late    bool
		count   string // of the only decision that is counted, "" for none
	}{
		"low load":               {mode: AdmissionOn},
		"objective missed":       {mode: AdmissionOn, waiting: 2300, refused: true, count: "refused objective 2"},
		"back too late":          {mode: AdmissionOn, waiting: 4000, late: true, count: "admitted-late objective 2"},
		"late, not last":         {mode: AdmissionOn, waiting: 4000, prepare: func(f *admissionFixture) { f.Admission.LateLast = false }, count: "admitted-late objective 2"},
		"deadline missed":        {mode: AdmissionOn, waiting: 20000, refused: true, count: "refused deadline 2"},
		"log refuses nothing":    {mode: AdmissionLog, waiting: 20000, count: "would-refuse deadline 2"},
		"log orders as usual":    {mode: AdmissionLog, waiting: 4000, count: "would-be-late objective 2"},
		"off":                    {mode: AdmissionOff, waiting: 20000},
		"no report of one pool":  {mode: AdmissionOn, waiting: 20000, prepare: func(f *admissionFixture) { delete(f.loads.loads, "first") }, count: "admitted-unseen no-report 2"},
		"no report at all":       {mode: AdmissionOn, waiting: 20000, prepare: func(f *admissionFixture) { clear(f.loads.loads) }, count: "admitted-unseen no-report 2"},
		"unknown rate":           {mode: AdmissionOn, waiting: 20000, prepare: func(f *admissionFixture) { f.loads.loads["second"] = hookhall.PoolLoad{} }, count: "admitted-unseen no-report 2"},
		"without an Admission":   {waiting: 20000, prepare: func(f *admissionFixture) { f.Admission = nil }},
		"an unknown mode is off": {mode: "yes", waiting: 20000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newAdmissionFixture(c.mode, c.waiting)
			if c.prepare != nil {
				c.prepare(f)
			}
			began := time.Now()
			e := f.call(t)
			if c.refused {
				if e.Verdict != hookhall.NotRun || e.Cause != hookhall.CauseShed || e.RetryAfter < 100*time.Millisecond || e.RetryAfter > 3*time.Second {
					t.Errorf("%v, retry after %v", e, e.RetryAfter)
				}
				if len(f.stages.graphs) > 0 || time.Since(began) > time.Second {
					t.Errorf("%d graphs were submitted in %v", len(f.stages.graphs), time.Since(began))
				}
				for _, field := range []string{"route=staged", "urgency=2", "account=", "pool=second", "ahead=", "rate=", "report_age_ms=", "retry_after_ms="} {
					if !strings.Contains(f.lines.String(), field) {
						t.Errorf("%q is not in the log: %s", field, f.lines)
					}
				}
			} else if e != errSubmitted || len(f.stages.graphs) != 1 {
				t.Fatalf("%v, %d graphs", e, len(f.stages.graphs))
			}
			if !c.refused {
				left := clock.Until(f.stages.graphs[0].FirstByteDue)
				if (left <= 0) != c.late || clock.Until(f.stages.graphs[0].FirstByteDeadline) < 8*time.Second {
					t.Errorf("stages are due in %v, late should be %v", left, c.late)
				}
				if hasCheck := f.stages.graphs[0].BeforeStage != nil; hasCheck != (f.Admission.isActive()) {
					t.Errorf("checked between stages: %v", hasCheck)
				}
			}
			if want := map[string]int{c.count: 1}; c.count != "" && fmt.Sprint(f.meter.counts) != fmt.Sprint(want) || c.count == "" && len(f.meter.counts) > 0 {
				t.Errorf("counts %v, want %q", f.meter.counts, c.count)
			}
			if !f.Admission.isActive() && f.loads.asked > 0 {
				t.Errorf("reports were asked for %d times", f.loads.asked)
			}
		})
	}
}

// TestAdmissionWithoutStages guards against requests without stages, or without pieces for them,
// that are decided about.
func TestAdmissionWithoutStages(t *testing.T) {
	f := newAdmissionFixture(AdmissionOn, 20000)
	for _, call := range []*hookhall.Call{
		{Host: "h", URI: "/plain/x"}, {Host: "h", URI: "/x"}, {Host: "h", URI: "/x", CallInfo: hookhall.CallInfo{PieceCounts: []int{0, 0}}},
	} {
		r, err := f.newRequest(call)
		if err != nil {
			t.Fatal(err)
		}
		if refusal := r.admit(); refusal != nil || f.loads.asked > 0 {
			t.Errorf("%s: %v, %d reports asked for", call.URI, refusal, f.loads.asked)
		}
	}
}

// TestUnorderedStages guards against requests that go to their stages, again and again, although the stages of their
// route have no order in which they can run.
func TestUnorderedStages(t *testing.T) {
	for name, list := range map[string][]hookhall.StageSpec{
		"each reads the other":   {{Service: "first", InputStages: []int{1}}, {Service: "second", InputStages: []int{0}}},
		"one reads itself":       {{Service: "first", InputStages: []int{0}}, {Service: "second"}},
		"one reads a later one":  {{Service: "first", InputStages: []int{1}}, {Service: "second"}},
		"one reads no stage":     {{Service: "first", InputStages: []int{-1}}, {Service: "second"}},
		"one reads one too many": {{Service: "first"}, {Service: "second", InputStages: []int{2}}},
	} {
		for _, mode := range []AdmissionMode{AdmissionOff, AdmissionLog, AdmissionOn} {
			t.Run(fmt.Sprintf("%s, admission %s", name, mode), func(t *testing.T) {
				f := newAdmissionFixture(mode, 0)
				f.Catalog.Table().Route("h", "/x").Stages = list
				e := f.call(t)
				if e == nil || e.Verdict != hookhall.NotRun || e.Cause != hookhall.CauseStage || e.RetryAfter <= 0 {
					t.Errorf("%v", e)
				}
				if len(f.stages.graphs) > 0 || len(f.meter.counts) > 0 {
					t.Errorf("%d graphs were submitted; decisions %v", len(f.stages.graphs), f.meter.counts)
				}
			})
		}
	}
}

// TestOwnAdmissions guards against a burst that is admitted on one report, against counting it
// again when the report includes it, and against losing stages that follow.
func TestOwnAdmissions(t *testing.T) {
	inStoppedTime(t, func(t *testing.T) {
		f := newAdmissionFixture(AdmissionOn, 0)
		admitted := 0
		for range 10000 {
			if e := f.call(t); e.Cause == hookhall.CauseShed {
				break
			}
			admitted++
		}
		// A wait that exceeds the objective with the margin takes some 1,200 of the 3 pieces a
		// request has at the second pool.
		if admitted < 200 || admitted > 1200 {
			t.Errorf("%d requests were admitted on one report", admitted)
		}
		pieces := f.Admission.Status().AdmittedSinceReport["first"]
		if pieces.Waiting[2]+pieces.Waiting[lateLevel] != int64(2*admitted) || pieces.Upcoming["second"][2]+pieces.Upcoming["second"][lateLevel] != int64(3*admitted) {
			t.Errorf("%d requests admitted, pieces %+v", admitted, pieces)
		}
		for name, load := range f.loads.loads {
			load.MeasuredAt = load.MeasuredAt.Add(time.Millisecond)
			f.loads.loads[name] = load
		}
		if e := f.call(t); e != errSubmitted {
			t.Errorf("after a newer report: %v", e)
		}
		if pieces := f.Admission.Status().AdmittedSinceReport["first"]; pieces.Waiting[2] != 2 {
			t.Errorf("after a newer report: %+v", pieces)
		}
	})
}

// inStoppedTime runs f in a synctest bubble, in which no time passes while f does not sleep: not on
// the clock that continues during a suspension either.
func inStoppedTime(t *testing.T, f func(t *testing.T)) {
	restore := func() {}
	defer func() { restore() }()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		restore = clock.Simulate(func() time.Duration { return time.Since(start) })
		f(t)
	})
}

// TestBetweenStages guards against a request that goes on although the rest of its path can't meet
// the deadline, against one that is ended for its objective, or in mode log, and against a request
// that is counted twice because two of its stages begin at the same time.
func TestBetweenStages(t *testing.T) {
	for name, c := range map[string]struct {
		mode    AdmissionMode
		waiting int
		ended   bool
		count   string
	}{
		"deadline missed":          {AdmissionOn, 20000, true, "map[ended deadline 2:1]"},
		"objective missed":         {AdmissionOn, 2300, false, "map[]"},
		"log ends nothing":         {AdmissionLog, 20000, false, "map[would-end deadline 2:1]"},
		"the last stage has begun": {AdmissionOn, 20000, false, "map[]"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAdmissionFixture(c.mode, 0)
			if e := f.call(t); e != errSubmitted {
				t.Fatal(e)
			}
			second := f.loads.loads["second"]
			second.Waiting[1] = c.waiting
			f.loads.loads["second"] = second
			begun := []bool{true, strings.HasPrefix(name, "the last")}
			for range 2 {
				err := f.stages.graphs[0].BeforeStage(begun)
				if e := hookhall.AsError(err); c.ended != (e != nil) || (e != nil && (e.Verdict != hookhall.NotRun || e.Cause != hookhall.CauseShed || e.RetryAfter == 0)) {
					t.Errorf("%v", err)
				}
			}
			if got := fmt.Sprint(f.meter.counts); got != c.count {
				t.Errorf("counts %v, want %v", got, c.count)
			}
		})
	}
}

// TestWrongRefusals guards the count by which operators judge mode log: requests that it would
// have refused and that were in time.
func TestWrongRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		reason admission.Reason
		took   time.Duration
		first  time.Duration
		stream bool
		want   int
	}{
		"in time":                      {admission.ReasonObjective, 900 * time.Millisecond, 0, false, 1},
		"late":                         {admission.ReasonObjective, 1100 * time.Millisecond, 0, false, 0},
		"answered before the deadline": {admission.ReasonDeadline, 5 * time.Second, 0, false, 1},
		"a stream that began in time":  {admission.ReasonObjective, 5 * time.Second, 900 * time.Millisecond, true, 1},
		"a stream that began late":     {admission.ReasonObjective, 5 * time.Second, 1100 * time.Millisecond, true, 0},
		"not refused":                  {admission.ReasonNone, time.Millisecond, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newAdmissionFixture(AdmissionLog, 0)
			r := &request{Forwarder: f.Forwarder, route: &hookhall.Route{LatencyObjective: time.Second}, firstByteElapsed: c.first}
			if c.stream {
				r.route.Kind = hookhall.KindStreaming
			}
			if c.reason != admission.ReasonNone {
				r.refusal.Store(&admission.Decision{Reason: c.reason})
			}
			r.recordWrongRefusal(c.took)
			if got := f.meter.counts["would-refuse-in-time "+string(c.reason)+" 0"]; got != c.want {
				t.Errorf("counts %v", f.meter.counts)
			}
		})
	}
}

// BenchmarkDecide is a decision with 12 pools that have admitted work for two others each.
func BenchmarkDecide(b *testing.B) {
	f := newAdmissionFixture(AdmissionOn, 300)
	routing := *f.Catalog.Table().Routing()
	for i := range 10 {
		service := hookhall.Service{Name: fmt.Sprint("other-", i), Pool: routing.Services[1].Pool}
		routing.Services = append(routing.Services, service)
		f.loads.loads[service.Name] = hookhall.PoolLoad{Service: service.Name, Rate: 1000, MeasuredAt: clock.Now()}
		work := f.Admission.admittedTo(service.Name, clock.Now())
		work.addUpcoming("first", 1, 10)
		work.addUpcoming("second", 1, 10)
	}
	f.Catalog = fakeCatalog{table: routetable.Compile(&routing)}
	r, err := f.newRequest(&hookhall.Call{Host: "h", URI: "/x", CallInfo: hookhall.CallInfo{ID: "call", PieceCounts: []int{2, 3}}})
	if err != nil {
		b.Fatal(err)
	}
	if refusal := r.admit(); refusal != nil {
		b.Fatal(refusal)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.decide(r.steps, nil)
	}
}
