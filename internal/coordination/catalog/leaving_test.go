// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
)

// TestLeavingByAnswer checks that a target that announces in an answer that it is leaving gets
// no requests in that incarnation, whether its key is listed as ready before or after.
func TestLeavingByAnswer(t *testing.T) {
	const left = "leave" // incarnation 5 announces in an answer that it is leaving
	for name, c := range map[string]struct {
		values []string
		listed bool
	}{
		"after it is listed":                  {[]string{"born 5 ready", left}, false},
		"its key is still ready":              {[]string{"born 5 ready", left, "born 5 cold", "born 5 ready"}, false},
		"before it is listed":                 {[]string{left, "born 5 ready"}, false},
		"missing, then listed again":          {[]string{"born 5 ready", left, "", "born 5 ready"}, false},
		"another incarnation":                 {[]string{"born 5 ready", left, "born 9 ready"}, true},
		"another incarnation, not listed yet": {[]string{left, "born 9 ready"}, true},
		"late, after a restart":               {[]string{"born 5 ready", "born 9 ready", left}, true},
		"twice, and at last in its key":       {[]string{"born 5 ready", left, left, "born 5 leaving"}, false},
		"after its key says leaving":          {[]string{"born 5 leaving", left}, false},
		"another incarnation leaves by key":   {[]string{"born 5 ready", left, "born 9 leaving"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := newCatalog(newFakeStore())
			catalog.ApplyReading(Reading{Revision: 1, Began: time.Now()}, "store")
			for n, value := range c.values {
				if value == left {
					catalog.MarkLeaving(hookhall.Incarnation{ID: "a", Start: 5}, "answer")
					continue
				}
				r := Reading{Revision: hookhall.Revision(n + 2), Began: time.Now()}
				if value != "" {
					r.Items = []hookhall.Item{targetItem(r.Revision, value)}
				}
				catalog.ApplyReading(r, "store")
			}
			if listed, _ := targetStatus(catalog); listed != c.listed {
				t.Errorf("listed %v, want %v", listed, c.listed)
			}
		})
	}
}

// TestLeavingIsRemembered checks that a target that left, was missing until its entry was
// removed, and is listed again in the same incarnation, gets no requests.
func TestLeavingIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCatalog(newFakeStore())
		revision := hookhall.Revision(0)
		learn := func(items ...hookhall.Item) {
			revision++
			for i := range items {
				items[i].Revision = revision
			}
			c.ApplyReading(Reading{Revision: revision, Items: items, Began: time.Now()}, "store")
		}
		other := hookhall.Item{Key: "t/other", Value: []byte("ready")}
		learn(targetItem(0, "born 5 ready"), other)
		c.MarkLeaving(hookhall.Incarnation{ID: "a", Start: 5}, "answer")
		learn(other)
		time.Sleep(missingTTL + time.Second)
		learn() // another target goes missing, which removes expired entries
		learn(targetItem(0, "born 5 ready"))
		if listed, _ := targetStatus(c); listed {
			t.Error("the target is usable again")
		}
		learn(targetItem(0, "born 9 ready"))
		if listed, _ := targetStatus(c); !listed {
			t.Error("the next incarnation is not usable")
		}
	})
}
