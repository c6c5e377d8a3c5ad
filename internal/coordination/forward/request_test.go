// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// TestExpectedAnswerTime guards the estimate by which the stages of long prompts run earlier: it
// must grow with the prompt.
func TestExpectedAnswerTime(t *testing.T) {
	plain := &request{}
	long := &request{criteria: balance.Criteria{IsEngineCall: true, OwnTokens: 30000, SharedTokens: 13000}}
	longer := &request{criteria: balance.Criteria{IsEngineCall: true, OwnTokens: 60000, SharedTokens: 13000}}
	if got := plain.expectedAnswerTime(); got != minAnswerTime {
		t.Errorf("a request without a prompt: %v expected, want the minimum", got)
	}
	if got := long.expectedAnswerTime(); got < 600*time.Millisecond || got > time.Second {
		t.Errorf("30,000 tokens: %v expected, want 600ms to 1s", got)
	}
	if long.expectedAnswerTime() >= longer.expectedAnswerTime() {
		t.Errorf("expected time does not grow with the prompt: 30,000 tokens take %v and 60,000 take %v", long.expectedAnswerTime(), longer.expectedAnswerTime())
	}
}

// TestOutageRetryAfter guards the retry delay during a store outage: twice the outage so far, from
// 1 to 10 seconds.
func TestOutageRetryAfter(t *testing.T) {
	for silence, want := range map[time.Duration]time.Duration{
		0: time.Second, 400 * time.Millisecond: time.Second, 1500 * time.Millisecond: 3 * time.Second, time.Minute: 10 * time.Second,
	} {
		if got := outageRetryAfter(silence); got != want {
			t.Errorf("outage of %v: retry after %v, want %v", silence, got, want)
		}
	}
}

// TestFinalErrorAtDeadline guards against a wrong status at the deadline. The attempt of a request
// that may run only once has its own deadline, which can end some microseconds before the
// request's. The client then got 502 instead of 504, and the log had "outcome=canceled
// left_ms=-5059".
func TestFinalErrorAtDeadline(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx   context.Context
		left  time.Duration
		cause hookhall.Cause // of the last attempt
		want  hookhall.Cause
	}{
		"only the attempt's deadline passed":       {t.Context(), -time.Microsecond, hookhall.CauseCanceled, hookhall.CauseDeadline},
		"both deadlines passed":                    {canceled, -time.Microsecond, hookhall.CauseCanceled, hookhall.CauseDeadline},
		"the client disconnected":                  {canceled, time.Second, hookhall.CauseCanceled, hookhall.CauseCanceled},
		"the target broke off before the deadline": {t.Context(), time.Second, hookhall.CauseConnection, hookhall.CauseConnection},
		"the target broke off after the deadline":  {t.Context(), -time.Microsecond, hookhall.CauseConnection, hookhall.CauseConnection},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{deadline: clock.Now().Add(c.left), runs: 1}
			got := hookhall.AsError(r.finalError(c.ctx, hookhall.Errorf(hookhall.MayHaveRun, c.cause, "no answer")))
			if got.Cause != c.want || got.Verdict != hookhall.MayHaveRun {
				t.Errorf("got %v", got)
			}
		})
	}
}
