// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"sort"
	"time"

	"github.com/hookhall/hookhall"
)

// tellFor is for how long a change is told again with each piece of news, so
// that one that was lost leaves no gap.
const tellFor = 3 * time.Second

// News is what a reading of the targets changed lately. A process that has all
// earlier changes gets to the same list, which the digest proves.
type News struct {
	Revision uint64
	Began    time.Time // when the reading began, by this process's steady clock
	Digest   uint64
	Changed  []hookhall.Item
	Gone     []string // ids
}

// News is what this process last learned.
func (c *Catalog) News(now time.Time) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.picture.Load()
	if p == nil {
		return News{}
	}
	n := News{Revision: p.Revision, Began: p.Began, Digest: p.Digest}
	for id, e := range c.known {
		switch {
		case now.Sub(e.changed) > tellFor:
		case e.missing.IsZero():
			n.Changed = append(n.Changed, hookhall.Item{Key: c.platform.TargetPrefix() + id, Value: e.value})
		default:
			n.Gone = append(n.Gone, id)
		}
	}
	sort.Slice(n.Changed, func(i, j int) bool { return n.Changed[i].Key < n.Changed[j].Key })
	sort.Strings(n.Gone)
	return n
}

// Reading is all that this process believes to be listed, as of its last reading.
func (c *Catalog) Reading() Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.picture.Load()
	if p == nil {
		return Reading{}
	}
	r := Reading{Revision: p.Revision, Began: p.Began}
	for id, e := range c.known {
		if e.missing.IsZero() {
			r.Items = append(r.Items, hookhall.Item{Key: c.platform.TargetPrefix() + id, Value: e.value})
		}
	}
	return r
}

// LearnNews takes in what a peer has learned. It tells whether that was newer.
// If this process lacks earlier changes, its digest differs; then the changes
// count, but its picture stays as old as it was, so that it reads for itself.
func (c *Catalog) LearnNews(n News, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.picture.Load()
	if p == nil || c.older(n.Revision, n.Began) {
		return false
	}
	now := time.Now()
	if len(n.Changed) == 0 && len(n.Gone) == 0 && n.Digest == p.Digest && !c.lapsing(p.Began) {
		again := *p
		again.Revision, again.Began = n.Revision, n.Began
		c.picture.Store(&again)
		return true
	}
	for _, i := range n.Changed {
		if t, ok := c.read(i); ok {
			c.list(t, i.Value, from, now)
		}
	}
	var lost []*entry
	for _, id := range n.Gone {
		if e := c.known[id]; e != nil && e.missing.IsZero() {
			lost = append(lost, e)
		}
	}
	c.miss(lost, from, now)
	c.publish(n.Revision, n.Began, now)
	if got := c.picture.Load(); got.Digest != n.Digest {
		c.publish(p.Revision, p.Began, now)
		c.log.Info("News leaves a gap; the targets are to be read.", "from", from, "revision", n.Revision, "have", p.Revision)
	}
	return true
}

// lapsing tells whether a target's time to come back was running at a time.
func (c *Catalog) lapsing(at time.Time) bool {
	for _, e := range c.known {
		if e.lapsed.After(at) {
			return true
		}
	}
	return false
}
