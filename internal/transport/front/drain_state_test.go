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

// TestDrainStates: whenever requests come and however long they take, a stop cuts
// none off that ends within its time, begins none after it has begun to refuse,
// and counts those that are left.
func TestDrainStates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type arrival struct{ at, lasts time.Duration }
		var arrivals []arrival
		for range rapid.IntRange(1, 20).Draw(rt, "requests") {
			arrivals = append(arrivals, arrival{
				time.Duration(rapid.IntRange(0, 8000).Draw(rt, "at")) * time.Millisecond,
				time.Duration(rapid.IntRange(1, 6000).Draw(rt, "lasts")) * time.Millisecond,
			})
		}
		// Half a millisecond more, so that nothing falls on the same moment.
		refuseAt := time.Duration(rapid.IntRange(0, 5000).Draw(rt, "refuses at"))*time.Millisecond + time.Millisecond/2
		grace := time.Duration(rapid.IntRange(100, 4000).Draw(rt, "grace")) * time.Millisecond
		synctest.Test(t, func(*testing.T) {
			began := time.Now()
			d := NewDrain(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				lasts, _ := time.ParseDuration(r.Header.Get("Lasts"))
				time.Sleep(lasts)
				w.WriteHeader(http.StatusOK)
			}), func(w http.ResponseWriter, e *hookhall.Error) {
				if e.Verdict != hookhall.NotRun || e.RetryAfter <= 0 {
					rt.Errorf("refused as %v, to come back in %v", e.Verdict, e.RetryAfter)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			var all sync.WaitGroup
			for _, a := range arrivals {
				all.Add(1)
				go func() {
					defer all.Done()
					time.Sleep(a.at)
					r := httptest.NewRequest(http.MethodGet, "/", nil)
					r.Header.Set("Lasts", a.lasts.String())
					w := httptest.NewRecorder()
					d.ServeHTTP(w, r)
					switch {
					case a.at < refuseAt && w.Code != http.StatusOK:
						rt.Errorf("one that came at %v, before %v, got %d", a.at, refuseAt, w.Code)
					case a.at > refuseAt && w.Code != http.StatusServiceUnavailable:
						rt.Errorf("one that came at %v, after %v, got %d", a.at, refuseAt, w.Code)
					case a.at > refuseAt && time.Since(began) != a.at:
						rt.Errorf("one that came at %v was refused at %v", a.at, time.Since(began))
					}
				}()
			}
			time.Sleep(refuseAt)
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			left := d.Finish(ctx)
			cancel()
			running := int64(0)
			now := time.Since(began)
			for _, a := range arrivals {
				if a.at < refuseAt && a.at+a.lasts > now {
					running++
				}
			}
			if left > 0 && now < refuseAt+grace {
				rt.Errorf("it gave up %d requests after %v of %v", left, now-refuseAt, grace)
			}
			if left != running {
				rt.Errorf("it counts %d requests that are left, not %d", left, running)
			}
			all.Wait()
		})
	})
}
