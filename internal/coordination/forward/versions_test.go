// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// fakeBindings finds the same software for all streams, and records what is bound.
type fakeBindings struct {
	found bindings.Found
	bound []binding.Binding
}

func (f *fakeBindings) Bind(_ context.Context, b binding.Binding, _ time.Duration) {
	f.bound = append(f.bound, b)
}
func (f *fakeBindings) Refresh(b binding.Binding) { f.bound = append(f.bound, b) }

func (f *fakeBindings) Preferred(string) (string, bool) { return "", false }

func (f *fakeBindings) Find(context.Context, bindings.Query) bindings.Found { return f.found }

// excludingRollouts lets no stream go on at a version.
type excludingRollouts struct {
	noRollouts
	excluded string
}

func (r excludingRollouts) MayGoOn(_, version string) bool { return version != r.excluded }

// newTakeUp returns a request that takes a stream of service llm up, with targets of v1 and v2 and
// what is found of the stream's version.
func newTakeUp(found bindings.Found) (*request, *fakeBindings) {
	r, known := newFailingRequest(nil), &fakeBindings{found: found}
	r.Bindings, r.Advisories = known, &advisory.Registry{}
	r.Catalog = oneCatalog{targets: []hookhall.Target{{ID: "a", Pool: "llm", Version: "v1"}, {ID: "b", Pool: "llm", Version: "v2"}, {ID: "c", Pool: "llm", Version: "v2"}}}
	r.route = &hookhall.Route{Kind: hookhall.KindStreaming, Resumable: true, MaxAttempts: 3, Timeout: 5 * time.Second, Backends: []hookhall.WeightedService{{Service: "llm"}, {Service: "other"}}}
	r.call = &hookhall.Call{CallInfo: hookhall.CallInfo{ID: "second", Resumes: "first", LastEventID: "2"}}
	r.service, r.arrived = "llm", clock.Now()
	return r, known
}

// TestTakeUp checks which streams that clients take up may go on, and where.
func TestTakeUp(t *testing.T) {
	for name, c := range map[string]struct {
		found    bindings.Found
		excluded string // version, by a rollout
		refused  bool
		targets  string // ids of those that may be chosen
	}{
		"known":                          {bindings.Found{Service: "llm", Version: "v2", Source: bindings.SourcePeer}, "", false, "bc"},
		"the only version":               {bindings.Found{Service: "llm", Version: "v1", Source: bindings.SourceSole}, "", false, "a"},
		"unknown":                        {bindings.Found{Service: "llm", Source: bindings.SourceUnknown}, "", true, ""},
		"no target of the version":       {bindings.Found{Service: "llm", Version: "v3", Source: bindings.SourcePeer}, "", true, ""},
		"a version that was not stated":  {bindings.Found{Service: "llm", Source: bindings.SourcePeer}, "", true, ""},
		"a rollout excludes it":          {bindings.Found{Service: "llm", Version: "v2", Source: bindings.SourceOwn}, "v2", true, ""},
		"the route has left the service": {bindings.Found{Service: "gone", Version: "v2", Source: bindings.SourceOwn}, "", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newTakeUp(c.found)
			r.Rollouts = excludingRollouts{excluded: c.excluded}
			failure := r.takeUp(t.Context())
			if (failure != nil) != c.refused {
				t.Fatalf("refused with %v", failure)
			}
			if failure != nil && (failure.Verdict != hookhall.NotRun || failure.RetryAfter == 0) {
				t.Errorf("%+v", failure)
			}
			if failure == nil {
				checkChoices(t, r, c.targets)
			}
		})
	}
}

// checkChoices checks that a request chooses the targets with the given ids, of one letter each, and
// then none.
func checkChoices(t *testing.T, r *request, ids string) {
	t.Helper()
	for range ids {
		target, failure := r.pickTarget(t.Context())
		if failure != nil || !strings.Contains(ids, target.ID) || r.tried[target.ID] {
			t.Fatalf("chose %q, %v; want one of %q", target.ID, failure, ids)
		}
		r.tried[target.ID] = true
	}
	if target, failure := r.pickTarget(t.Context()); failure == nil {
		t.Errorf("chose %q in addition to %q", target.ID, ids)
	}
	if !r.isExhausted() {
		t.Error("not exhausted after all of them")
	}
}

// TestTakeUpIsRecorded checks that the version of a stream that a client takes up is recorded anew, also if it
// followed from the lists, as long as the client names the stream.
func TestTakeUpIsRecorded(t *testing.T) {
	for _, source := range []bindings.Source{bindings.SourceOwn, bindings.SourcePeer, bindings.SourceSole} {
		for _, resumes := range []string{"first", ""} {
			r, known := newTakeUp(bindings.Found{Service: "llm", Version: "v2", Source: source})
			r.call.Resumes = resumes
			if failure := r.takeUp(t.Context()); failure != nil || (len(known.bound) == 1) != (resumes != "") {
				t.Errorf("%s, named %q: recorded %+v, %v", source, resumes, known.bound, failure)
			}
		}
	}
}

// TestTakeUpOfAnotherService checks that a stream goes on at the service that began it, where the route
// leads to several.
func TestTakeUpOfAnotherService(t *testing.T) {
	r, _ := newTakeUp(bindings.Found{Service: "other", Version: "v1", Source: bindings.SourcePeer})
	if failure := r.takeUp(t.Context()); failure != nil || r.service != "other" {
		t.Errorf("service %s, %v", r.service, failure)
	}
}

// TestFirstEventBinds checks from which moment on a stream is tied to a version, and under which id.
func TestFirstEventBinds(t *testing.T) {
	for name, c := range map[string]struct {
		body      string
		resumable bool
		takenUp   bool
		isBound   bool
		call      string // under which the binding is recorded, "" for none
	}{
		"the first event":           {"id: 1\n\n", true, false, true, "second"},
		"two events":                {"id: 1\n\nid: 2\n\n", true, false, true, "second"},
		"a comment":                 {": wait\n\n", true, false, false, ""},
		"a piece of an event":       {"id: 1\n", true, false, false, ""},
		"a stream that is taken up": {"id: 3\n\n", true, true, true, "first"},
		"a route without it":        {"id: 1\n\n", false, false, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r, known := newTakeUp(bindings.Found{Service: "llm", Version: "v2", Source: bindings.SourcePeer})
			r.answer, r.route.Resumable, r.target = &recordingClient{}, c.resumable, hookhall.Target{ID: "b", Version: "v2"}
			if !c.takenUp {
				r.call.LastEventID, r.call.Resumes = "", ""
			}
			if failure := r.takeUp(t.Context()); failure != nil {
				t.Fatal(failure)
			}
			a := &attempt{activeCall: r.Tracker.Begin(r.target, balance.Criteria{}, clock.Now())}
			a.reply = &hookhall.Reply{Framing: hookhall.FramedByChunks, Body: io.NopCloser(strings.NewReader(c.body))}
			_ = (&stream{r: r, head: a.reply}).passEvents(t.Context(), a) // some of the streams are broken
			if r.begun.isBound != c.isBound {
				t.Errorf("bound: %v", r.begun.isBound)
			}
			if (len(known.bound) == 1) != (c.call != "") {
				t.Fatalf("recorded %+v", known.bound)
			}
			if c.call != "" && (known.bound[0].Key != binding.KeyOf("", c.call) || known.bound[0].Version != "v2" || known.bound[0].Service != "llm") {
				t.Errorf("recorded %+v", known.bound[0])
			}
		})
	}
}
