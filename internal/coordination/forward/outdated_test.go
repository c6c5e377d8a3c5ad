// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// TestOutdatedTable guards against refusals that clients take for final, made by a table that may
// not be the newest.
func TestOutdatedTable(t *testing.T) {
	const bound = 2 * time.Second
	table := routetable.Compile(&hookhall.Routing{
		Version: 3, Limits: hookhall.RequestLimits{MaxBody: 100},
		Accounts: []hookhall.AccountKeys{{Name: "account", Keys: []string{"known"}}},
		Routes:   []hookhall.Route{{Name: "closed", Host: "h", Prefix: "/closed/"}},
	})
	for _, age := range []time.Duration{0, bound, bound + time.Millisecond, time.Minute} {
		confirmed := age <= bound
		f := newAdmissionFixture(AdmissionOff, 0)
		f.TableBound, f.Listed = bound, func() bool { return false }
		f.Catalog = fakeCatalog{table: table, tableAge: age}
		for path, cause := range map[string]hookhall.Cause{"/none/": hookhall.CauseNoRoute, "/closed/x": hookhall.CauseUnauthorized} {
			t.Run(fmt.Sprint(cause, " ", age), func(t *testing.T) {
				clear(f.meter.counts)
				err := hookhall.AsError(f.Serve(t.Context(), &hookhall.Call{Host: "h", URI: path, CallInfo: hookhall.CallInfo{ID: "call"}}, nil))
				want, retryAfter := cause, time.Duration(0)
				if !confirmed {
					want, retryAfter = hookhall.CauseNotReady, minOutageRetryAfter
				}
				if err.Verdict != hookhall.NotRun || err.Cause != want || err.RetryAfter != retryAfter {
					t.Errorf("refused as %s, %s, to come back after %v", err.Verdict, err.Cause, err.RetryAfter)
				}
				if f.meter.counts[fmt.Sprintf("%s %v false", want, age)] != 1 {
					t.Errorf("counted %v", f.meter.counts)
				}
			})
		}
		t.Run(fmt.Sprint("limit of bodies ", age), func(t *testing.T) {
			if limit := f.MaxBody(); (limit == 100) != confirmed || (limit == 0) == confirmed {
				t.Errorf("the limit is %d", limit)
			}
		})
	}
}
