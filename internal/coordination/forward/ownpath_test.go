// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/quota"
	"github.com/pkg/errors"
)

// failingSender fails each attempt with an error.
type failingSender struct{ err *hookhall.Error }

func (s failingSender) Send(context.Context, *hookhall.Call, hookhall.Attempt) (*hookhall.Reply, error) {
	return nil, s.err
}

// noRollouts includes no target.
type noRollouts struct{}

func (noRollouts) Versions(string, bool) balance.Versions          { return balance.Versions{} }
func (noRollouts) MayGoOn(string, string) bool                     { return true }
func (noRollouts) Begin(string, hookhall.Target) *rollouts.Attempt { return nil }

// noQuarantine records nothing.
type noQuarantine struct{}

func (noQuarantine) Standing(func() crashes.Identity) crashes.Status       { return crashes.Status{} }
func (noQuarantine) Suspect(crashes.Identity, hookhall.Target)             {}
func (noQuarantine) Running(crashes.Identity)                              {}
func (noQuarantine) Served(crashes.Identity, hookhall.Target)              {}
func (noQuarantine) EndedWithConnection(crashes.Identity, hookhall.Target) {}

// newFailingRequest returns a repeatable request whose attempts fail with err, without a budget for
// retries.
func newFailingRequest(err *hookhall.Error) *request {
	nobody := func(time.Time) quota.Position { return quota.Position{} }
	f := &Forwarder{
		Sender: failingSender{err}, Tracker: balance.NewTracker(), Rollouts: noRollouts{}, Quarantine: noQuarantine{},
		Budget: budget.New(budget.Limits{Window: time.Second}, nobody, clock.Now()), Log: log.New(io.Discard),
	}
	return &request{
		Forwarder: f, call: &hookhall.Call{}, route: &hookhall.Route{Kind: hookhall.KindSafe, MaxAttempts: 3},
		deadline: clock.Now().Add(time.Second), tried: map[string]bool{},
	}
}

// TestOwnPathIsNotHeldAgainstTarget guards against targets that are left out because the links of this
// process broke.
func TestOwnPathIsNotHeldAgainstTarget(t *testing.T) {
	target := hookhall.Target{ID: "target"}
	for _, isOwnPath := range []bool{false, true} {
		t.Run("no answer", func(t *testing.T) {
			failure := hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseConnection, "reset")
			failure.OwnPath = isOwnPath
			r := newFailingRequest(failure)
			r.send(t.Context(), target, "")
			if got := r.Tracker.Status(target.Incarnation(), clock.Now()).Ejected; got == isOwnPath {
				t.Errorf("own path %v, and the target is left out: %v", isOwnPath, got)
			}
		})
		t.Run("a truncated answer", func(t *testing.T) {
			readErr := io.ErrUnexpectedEOF
			if isOwnPath {
				readErr = errors.Wrap(hookhall.ErrOwnPath, "reset")
			}
			r := newFailingRequest(nil)
			a := &attempt{activeCall: r.Tracker.Begin(target, balance.Criteria{}, clock.Now())}
			failure := a.recordTruncated("cut", readErr)
			if failure.OwnPath != isOwnPath || failure.Verdict != hookhall.MayHaveRun {
				t.Errorf("%+v", failure)
			}
			if got := r.Tracker.Status(target.Incarnation(), clock.Now()).FailRate > 0; got == isOwnPath {
				t.Errorf("own path %v, and the failure counts: %v", isOwnPath, got)
			}
		})
	}
}

// TestExpiredRetryGrant guards against a retry that was granted too long ago and that is reported as
// a refusal by the target, which has not been asked.
func TestExpiredRetryGrant(t *testing.T) {
	r := newFailingRequest(nil)
	r.retryAccount = budget.Decision{Granted: true}
	r.retryGrantedAt = clock.Now().Add(-time.Minute)
	// The bucket has been full since.
	r.Budget = budget.New(budget.Limits{Slack: 1, Ratio: 1, Window: time.Second}, func(time.Time) quota.Position { return quota.Position{Count: 1} }, clock.Now())
	r.Budget.RecordRequest("", clock.Now())
	r.Budget.Spend("", clock.Now())
	if a := r.send(t.Context(), hookhall.Target{ID: "target"}, ""); a.err.Cause != hookhall.CauseBudget || a.err.Verdict != hookhall.NotRun {
		t.Errorf("%v", a.err)
	}
	if r.attempts != 0 {
		t.Error("it counts as an attempt")
	}
}

// noMeter counts nothing.
type noMeter struct{ Meter }

func (noMeter) Retried(string) {}

// oneCatalog has the targets of one service.
type oneCatalog struct {
	Catalog
	targets []hookhall.Target
}

func (oneCatalog) Departing(string, time.Time) []hookhall.Target { return nil }
func (c oneCatalog) Targets(string) []hookhall.Target            { return c.targets }

// TestFailedTargetStaysExcluded guards against a request that is sent to a target again which may have
// run it, because all others refused it.
func TestFailedTargetStaysExcluded(t *testing.T) {
	failed, full, gone := hookhall.Target{ID: "failed"}, hookhall.Target{ID: "full"}, hookhall.Target{ID: "gone"}
	r := newFailingRequest(nil)
	r.Catalog = oneCatalog{targets: []hookhall.Target{failed, full, gone}}
	r.Budget = budget.New(budget.Limits{Slack: 1, Ratio: 1, Window: time.Second}, func(time.Time) quota.Position { return quota.Position{Count: 1} }, clock.Now())
	r.Meter = noMeter{}
	for _, c := range []struct {
		target  hookhall.Target
		verdict hookhall.Verdict
		cause   hookhall.Cause
	}{{failed, hookhall.MayHaveRun, hookhall.CauseTruncated}, {gone, hookhall.NotRun, hookhall.CauseConnection}, {full, hookhall.NotRun, hookhall.CauseRefused}} {
		r.Budget.RecordRequest(r.service, clock.Now())
		if !r.prepareRetry(t.Context(), &attempt{err: hookhall.Errorf(c.verdict, c.cause, "failed")}, c.target) {
			t.Fatalf("no retry after %s", c.target.ID)
		}
	}
	if want := map[string]bool{failed.ID: true}; !maps.Equal(r.tried, want) {
		t.Errorf("excluded after all were tried: %v, want %v", r.tried, want)
	}
}

// TestUnsentAttemptCostsNoRetry guards against a retry budget that is spent on requests that never
// reached a target, and against retries without budget of those that did.
func TestUnsentAttemptCostsNoRetry(t *testing.T) {
	for name, c := range map[string]struct {
		verdict hookhall.Verdict
		cause   hookhall.Cause
		want    bool
	}{
		"no connection":            {hookhall.NotRun, hookhall.CauseConnection, true},
		"a connection that broke":  {hookhall.MayHaveRun, hookhall.CauseConnection, false},
		"a refusal by the target":  {hookhall.NotRun, hookhall.CauseRefused, false},
		"an answer of another one": {hookhall.NotRun, hookhall.CauseMisdirected, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFailingRequest(nil)
			a := &attempt{err: hookhall.Errorf(c.verdict, c.cause, "failed")}
			if got := r.prepareRetry(t.Context(), a, hookhall.Target{ID: "target"}); got != c.want {
				t.Errorf("retried: %v", got)
			}
		})
	}
}
