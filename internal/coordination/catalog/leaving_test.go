// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
)

// TestLeavingByAnswer: the word of a target in an answer holds for the life that gave it,
// before and after its key says that it is ready.
func TestLeavingByAnswer(t *testing.T) {
	const left = "leave" // the life 5 says in an answer that it is leaving
	for name, c := range map[string]struct {
		words  []string
		listed bool
	}{
		"after it is listed":           {[]string{"born 5 ready", left}, false},
		"and its key says ready":       {[]string{"born 5 ready", left, "born 5 cold", "born 5 ready"}, false},
		"before it is listed":          {[]string{left, "born 5 ready"}, false},
		"it is missing, and is back":   {[]string{"born 5 ready", left, "", "born 5 ready"}, false},
		"another life":                 {[]string{"born 5 ready", left, "born 9 ready"}, true},
		"another life, before":         {[]string{left, "born 9 ready"}, true},
		"late, when it has ended":      {[]string{"born 5 ready", "born 9 ready", left}, true},
		"twice, and its key, at last":  {[]string{"born 5 ready", left, left, "born 5 leaving"}, false},
		"after its key has said so":    {[]string{"born 5 leaving", left}, false},
		"another life leaves by a key": {[]string{"born 5 ready", left, "born 9 leaving"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := newCatalog(newFakeStore())
			catalog.Learn(Reading{Revision: 1, Began: time.Now()}, "store")
			for n, value := range c.words {
				if value == left {
					catalog.Leave(hookhall.Life{ID: "a", Born: 5}, "answer")
					continue
				}
				r := Reading{Revision: hookhall.Revision(n + 2), Began: time.Now()}
				if value != "" {
					r.Items = []hookhall.Item{targetItem(r.Revision, value)}
				}
				catalog.Learn(r, "store")
			}
			if listed, _ := targetStatus(catalog); listed != c.listed {
				t.Errorf("listed %v, want %v", listed, c.listed)
			}
		})
	}
}

// TestLeavingIsRemembered: a target that left, was missing until it was forgotten, and is
// listed again in the same life, gets nothing.
func TestLeavingIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCatalog(newFakeStore())
		revision := hookhall.Revision(0)
		learn := func(items ...hookhall.Item) {
			revision++
			for i := range items {
				items[i].Revision = revision
			}
			c.Learn(Reading{Revision: revision, Items: items, Began: time.Now()}, "store")
		}
		other := hookhall.Item{Key: "t/other", Value: []byte("ready")}
		learn(targetItem(0, "born 5 ready"), other)
		c.Leave(hookhall.Life{ID: "a", Born: 5}, "answer")
		learn(other)
		time.Sleep(missingTTL + time.Second)
		learn() // something else goes missing, and those that are gone for long are forgotten
		learn(targetItem(0, "born 5 ready"))
		if listed, _ := targetStatus(c); listed {
			t.Error("it is used again")
		}
		learn(targetItem(0, "born 9 ready"))
		if listed, _ := targetStatus(c); !listed {
			t.Error("its next life is not used")
		}
	})
}
