// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

// TestDrainStates checks a stop against random arrival times and durations of requests:
// no request that ends within the grace period is cut off, none starts once the Drain
// refuses, and the number of those still in progress is returned.
func TestDrainStates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type arrival struct{ at, duration time.Duration }
		var arrivals []arrival
		for range rapid.IntRange(1, 20).Draw(rt, "requests") {
			arrivals = append(arrivals, arrival{
				time.Duration(rapid.IntRange(0, 8000).Draw(rt, "at")) * time.Millisecond,
				time.Duration(rapid.IntRange(1, 6000).Draw(rt, "lasts")) * time.Millisecond,
			})
		}
		// Half a millisecond more, so that no arrival coincides with it.
		refuseAt := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "refuses at"))*time.Millisecond + time.Millisecond/2
		grace := time.Duration(rapid.IntRange(100, 4000).Draw(rt, "grace")) * time.Millisecond
		synctest.Test(t, func(*testing.T) {
			start := time.Now()
			drain := NewDrain(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				duration, _ := time.ParseDuration(r.Header.Get("Lasts"))
				time.Sleep(duration)
				w.WriteHeader(http.StatusOK)
			}), func(w http.ResponseWriter, e *hookhall.Error) {
				if e.Verdict != hookhall.NotRun || e.RetryAfter <= 0 {
					rt.Errorf("refused with verdict %v and retry delay %v", e.Verdict, e.RetryAfter)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			var requests sync.WaitGroup
			for _, a := range arrivals {
				requests.Add(1)
				go func() {
					defer requests.Done()
					time.Sleep(a.at)
					r := httptest.NewRequest(http.MethodGet, "/", nil)
					r.Header.Set("Lasts", a.duration.String())
					w := httptest.NewRecorder()
					drain.ServeHTTP(w, r)
					switch {
					case a.at < refuseAt && w.Code != http.StatusOK:
						rt.Errorf("request arrived at %v, before the refusal at %v: status %d", a.at, refuseAt, w.Code)
					case a.at > refuseAt && w.Code != http.StatusServiceUnavailable:
						rt.Errorf("request arrived at %v, after the refusal at %v: status %d", a.at, refuseAt, w.Code)
					case a.at > refuseAt && time.Since(start) != a.at:
						rt.Errorf("request arrived at %v was refused only at %v", a.at, time.Since(start))
					}
				}()
			}
			time.Sleep(refuseAt)
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			remaining := drain.RefuseAndWait(ctx, time.Time{})
			cancel()
			running := int64(0)
			now := time.Since(start)
			for _, a := range arrivals {
				if a.at < refuseAt && a.at+a.duration > now {
					running++
				}
			}
			if remaining > 0 && now < refuseAt+grace {
				rt.Errorf("the drain gave up %d requests after %v of %v", remaining, now-refuseAt, grace)
			}
			if remaining != running {
				rt.Errorf("the drain counts %d requests in progress, not %d", remaining, running)
			}
			requests.Wait()
		})
	})
}
