// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
)

// TestDeparting checks from when until when a target counts as departing. Each value is read 300 ms after
// the one before; the last one decides.
func TestDeparting(t *testing.T) {
	const (
		drain    = 2 * time.Second
		interval = 300 * time.Millisecond
		missing  = ""
		leave    = "leave" // incarnation 5 announces in an answer that it is leaving
	)
	for name, c := range map[string]struct {
		values []string
		// departing is how long the target is departing after the last value, 0 if it is not.
		departing time.Duration
	}{
		"listed":                             {[]string{"born 5", "born 5"}, 0},
		"removed":                            {[]string{"born 5", missing}, drain - departureMargin - interval},
		"leaving by its key":                 {[]string{"born 5", "born 5 leaving"}, drain - departureMargin - interval},
		"leaving by an answer":               {[]string{"born 5", leave}, drain - departureMargin - interval},
		"leaving, then removed":              {[]string{"born 5", "born 5 leaving", missing}, drain - departureMargin - 2*interval},
		"leaving at the first reading":       {[]string{"born 5 leaving", "born 5 leaving"}, 0},
		"leaving at the first, then removed": {[]string{"born 5 leaving", missing}, 0},
		"never listed":                       {[]string{missing, leave}, 0},
		"listed again":                       {[]string{"born 5", missing, "born 5"}, 0},
		"restarted":                          {[]string{"born 5", "born 5 leaving", "born 9"}, 0},
		"restarted, then removed":            {[]string{"born 5", "born 5 leaving", "born 9", missing}, drain - departureMargin - interval},
		"its key holds no target":            {[]string{"born 5", "bad"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				catalog := newCatalog(newFakeStore())
				catalog.DrainTime = drain
				for n, value := range c.values {
					time.Sleep(interval)
					if value == leave {
						catalog.MarkLeaving(hookhall.Incarnation{ID: "a", Start: 5}, "answer")
						continue
					}
					r := Reading{Revision: hookhall.Revision(n + 1), Began: time.Now()}
					if value != missing {
						r.Items = []hookhall.Item{targetItem(r.Revision, value)}
					}
					catalog.ApplyReading(r, "store")
				}
				if listed, _ := targetStatus(catalog); listed && c.departing > 0 {
					t.Error("it is still usable")
				}
				began := time.Now()
				for len(catalog.Departing("pool", time.Now())) > 0 && time.Since(began) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				if got := time.Since(began); got != c.departing {
					t.Errorf("departing for %v, want %v", got, c.departing)
				}
			})
		})
	}
}
