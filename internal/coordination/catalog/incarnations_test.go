// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// word is what the target t/a says of itself at a revision: its start, and how it is.
func targetItem(revision hookhall.Revision, value string) hookhall.Item {
	return hookhall.Item{Key: "t/a", Value: []byte(value), Revision: revision}
}

// usable tells whether the catalog offers the target a, and whether as a cold one.
func targetStatus(c *Catalog) (listed, cold bool) {
	for _, t := range c.Targets("pool") {
		if t.ID == "a" {
			return true, t.Cold(time.Now())
		}
	}
	return false, false
}

// TestTargetRestart: what a target said in an earlier life holds for that life only. Its
// clock may have been set back, and its heartbeats count from the start.
func TestTargetRestart(t *testing.T) {
	for name, c := range map[string]struct {
		words  []string
		listed bool
		cold   bool
	}{
		"it is ready": {[]string{"born 5 ready"}, true, false},
		"it leaves":   {[]string{"born 5 ready", "born 5 leaving"}, false, false},
		"it leaves, and says once more that it is ready": {[]string{"born 5 leaving", "born 5 ready"}, false, false},
		"it left, and is back":                           {[]string{"born 5 leaving", "born 9 ready"}, true, false},
		"it left, and is back with an earlier clock":     {[]string{"born 5 leaving", "born 2 ready"}, true, false},
		"it is back, and leaves":                         {[]string{"born 5 ready", "born 9 ready", "born 9 leaving"}, false, false},
		"it left, is back, and the first life's clock":   {[]string{"born 5 leaving", "born 9 ready", "born 5 ready"}, true, false},
		"it is back cold":                                {[]string{"born 5 ready", "born 9 cold"}, true, true},
		"it was cold, and is back warm":                  {[]string{"born 5 cold", "born 9 ready"}, true, false},
		"it does not say when it started":                {[]string{"leaving", "born 9 ready"}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			for way, learn := range map[string]func(c *Catalog, i hookhall.Item){
				"by readings": func(c *Catalog, i hookhall.Item) {
					c.Learn(Reading{Revision: i.Revision, Items: []hookhall.Item{i}, Began: time.Now()}, "store")
				},
				"by a watch": func(c *Catalog, i hookhall.Item) {
					c.Follow([]hookhall.Item{i}, i.Revision, time.Now())
				},
				"by news": func(c *Catalog, i hookhall.Item) {
					c.LearnNews(News{Revision: i.Revision, Began: time.Now(), Changed: []hookhall.Item{i}}, "peer")
				},
			} {
				t.Run(way, func(t *testing.T) {
					catalog := newCatalog(newFakeStore())
					catalog.Learn(Reading{Revision: 1, Began: time.Now()}, "store")
					for n, value := range c.words {
						learn(catalog, targetItem(hookhall.Revision(n+2), value))
					}
					if listed, cold := targetStatus(catalog); listed != c.listed || cold != c.cold {
						t.Errorf("listed %v, cold %v; want %v, %v", listed, cold, c.listed, c.cold)
					}
				})
			}
		})
	}
}

// TestUpdatesOfIncarnationsInAnyOrder: whatever order news takes, by whichever detours, the last
// word of the last life stands in the end.
func TestUpdatesOfIncarnationsInAnyOrder(t *testing.T) {
	words := []string{"born 5 ready", "born 5 leaving", "", "born 2 ready", "born 2 cold", "born 2 leaving", "", "born 9 ready"}
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 0))
		last := 1 + r.IntN(len(words))
		c := newCatalog(newFakeStore())
		c.Learn(Reading{Revision: 1, Began: time.Now()}, "store")
		var list []News
		for n, value := range words[:last] {
			news := News{Revision: hookhall.Revision(n + 2), Began: time.Now(), Digest: 1} // always a gap
			if value == "" {
				news.Gone = []string{"t/a"}
			} else {
				news.Changed = []hookhall.Item{targetItem(news.Revision, value)}
			}
			list = append(list, news)
		}
		list = append(list, list[r.IntN(len(list))]) // one comes twice
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, n := range list {
			c.LearnNews(n, "peer")
		}
		want := strings.HasSuffix(words[last-1], "ready") || strings.HasSuffix(words[last-1], "cold")
		if listed, cold := targetStatus(c); listed != want || cold != strings.HasSuffix(words[last-1], "cold") {
			t.Fatalf("seed %d: after %q, listed %v, cold %v", seed, words[:last], listed, cold)
		}
	}
}
