// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/state/balance"
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
