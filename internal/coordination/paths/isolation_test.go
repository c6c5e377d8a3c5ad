// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package paths

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestIsolationIsConfirmed guards against a process that counts as isolated, so that it uses relays for all
// targets and gives its roles away, though it is cut off from a part of the targets only.
func TestIsolationIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		cutOff, healthy []string
		answers         bool // targets answer on kept connections
		want            bool
	}{
		"no other target":             {nil, nil, false, true},
		"others connect":              {nil, []string{"h1", "h2"}, false, false},
		"one more is cut off":         {[]string{"c1"}, []string{"h1"}, false, false},
		"two more are cut off":        {[]string{"c1", "c2"}, []string{"h1"}, false, true},
		"a kept connection is in use": {[]string{"c1", "c2"}, nil, true, false},
	} {
		for kind, direct := range map[string]outcome{"refused": refused, "hanging": timedOut} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, direct, connects, connects)
					w.cutOff, w.healthy = c.cutOff, c.healthy
					for i := range 3 {
						w.use(fmt.Sprint("target-", i))
						if c.answers {
							w.Answered()
						}
					}
					for end := time.Now().Add(2 * relayTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						if c.answers {
							w.Answered()
						}
					}
					if got := w.Table.Isolated(); got != c.want {
						t.Errorf("isolated: %v", got)
					}
					w.set(connects)
					w.stopProbes()
				})
			})
		}
	}
}

// TestSilentRequestsAreGivenUp guards against requests that wait on connections that an isolation has
// silenced, and against giving those up whose connections live on, or will be reset anyway.
func TestSilentRequestsAreGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		direct   outcome
		answers  bool // a target answers directly after the isolation began
		returns  bool // the links work again at once
		wantCall bool
	}{
		"silent links":                {timedOut, false, false, true},
		"a target answers":            {timedOut, true, false, false},
		"new connections are refused": {refused, false, false, false},
		"back at once":                {timedOut, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, c.direct, connects, connects)
				var isolatedAt time.Time
				var calls []time.Time
				w.OnIsolated = func(isolated bool) {
					if isolated {
						isolatedAt = time.Now()
					}
				}
				w.AbandonSilent = func(sentBefore time.Time) int {
					calls = append(calls, sentBefore)
					return 1
				}
				w.Answered()
				for i := range 3 {
					if _, err := w.connect(fmt.Sprintf("10.0.0.%d:80", i)); err != nil {
						t.Fatal(err)
					}
				}
				synctest.Wait()
				if c.answers {
					w.Answered()
				}
				if c.returns {
					for i := range 2 {
						w.recordConnected(fmt.Sprintf("10.0.0.%d:80", i))
					}
				}
				time.Sleep(silenceLimit)
				synctest.Wait()
				if isolatedAt.IsZero() || (len(calls) == 1) != c.wantCall || len(calls) > 1 {
					t.Errorf("isolated at %v, given up %d times", isolatedAt, len(calls))
				}
				if c.wantCall && !calls[0].Equal(isolatedAt) {
					t.Errorf("gave up what was sent before %v, want %v", calls[0], isolatedAt)
				}
				w.Table.Prune(func(string) bool { return false })
				time.Sleep(time.Minute) // the probes end
			})
		})
	}
}
