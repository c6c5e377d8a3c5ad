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

func TestAnswerTime(t *testing.T) {
	plain := &request{}
	long := &request{wish: balance.Wish{Engine: true, OwnTokens: 30000, SharedTokens: 13000}}
	longer := &request{wish: balance.Wish{Engine: true, OwnTokens: 60000, SharedTokens: 13000}}
	if got := plain.answerTime(); got != answerLeast {
		t.Errorf("a request without a prompt takes %v", got)
	}
	if got := long.answerTime(); got < 600*time.Millisecond || got > time.Second {
		t.Errorf("30,000 tokens take %v", got)
	}
	if long.answerTime() >= longer.answerTime() {
		t.Errorf("30,000 tokens take %v and 60,000 %v", long.answerTime(), longer.answerTime())
	}
}

func TestAfterOutage(t *testing.T) {
	for silence, want := range map[time.Duration]time.Duration{
		0: time.Second, 400 * time.Millisecond: time.Second, 1500 * time.Millisecond: 3 * time.Second, time.Minute: 10 * time.Second,
	} {
		if got := afterOutage(silence); got != want {
			t.Errorf("after %v of silence: come back in %v, not %v", silence, got, want)
		}
	}
}

// TestGiveUpAtTheDeadline. A request that may run only once is sent under a deadline of its
// own, which ended some microseconds before the request's: the client, whose time was over,
// was told 502 and not 504, with `outcome=canceled left_ms=-5059` in the log.
func TestGiveUpAtTheDeadline(t *testing.T) {
	gone, leave := context.WithCancel(t.Context())
	leave()
	for name, c := range map[string]struct {
		ctx   context.Context
		left  time.Duration
		cause hookhall.Cause // of the last send
		want  hookhall.Cause
	}{
		"the send's deadline came first":  {t.Context(), -time.Microsecond, hookhall.CauseCanceled, hookhall.CauseDeadline},
		"both deadlines came":             {gone, -time.Microsecond, hookhall.CauseCanceled, hookhall.CauseDeadline},
		"the client has gone":             {gone, time.Second, hookhall.CauseCanceled, hookhall.CauseCanceled},
		"the target broke off, with time": {t.Context(), time.Second, hookhall.CauseConnection, hookhall.CauseConnection},
		"the target broke off, at last":   {t.Context(), -time.Microsecond, hookhall.CauseConnection, hookhall.CauseConnection},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{end: clock.Now().Add(c.left), runs: 1}
			got := hookhall.AsError(r.giveUp(c.ctx, hookhall.Errorf(hookhall.MayHaveRun, c.cause, "no answer")))
			if got.Cause != c.want || got.Verdict != hookhall.MayHaveRun {
				t.Errorf("%v", got)
			}
		})
	}
}
