// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// TestAddressOfMovedTarget guards against the address that a target has left: it still led to the
// target, so that connections there were counted and relayed as its own.
func TestAddressOfMovedTarget(t *testing.T) {
	const before, after = "10.0.0.1:80", "10.0.0.2:80"
	c := newCatalog(newFakeStore())
	c.ApplyReading(Reading{Revision: 1, Items: []hookhall.Item{targetItem(1, "at "+before)}, Began: time.Now()}, "store")
	c.ApplyEvents([]hookhall.Item{targetItem(2, "at "+after)}, 2, time.Now())
	if service := c.ServiceAt(before); service != "" {
		t.Errorf("the old address leads to service %q", service)
	}
	if target, ok := c.TargetAt(before); ok {
		t.Errorf("the old address leads to target %q", target.ID)
	}
	if target, ok := c.TargetAt(after); !ok || target.ID != "a" {
		t.Errorf("the new address leads to target %q", target.ID)
	}
	t.Run("another target takes it", func(t *testing.T) {
		c.ApplyEvents([]hookhall.Item{{Key: "t/b", Value: []byte("at " + before), Revision: 3}}, 3, time.Now())
		c.ApplyEvents([]hookhall.Item{targetItem(4, "at 10.0.0.3:80")}, 4, time.Now())
		if target, ok := c.TargetAt(before); !ok || target.ID != "b" {
			t.Errorf("it leads to target %q", target.ID)
		}
	})
}

// TestSampleTarget checks that each listed target is sampled, and no missing or skipped one.
func TestSampleTarget(t *testing.T) {
	c := newCatalog(newFakeStore())
	item := func(id string, revision hookhall.Revision) hookhall.Item {
		return hookhall.Item{Key: "t/" + id, Value: []byte("at 10.0.0." + id + ":80"), Revision: revision}
	}
	c.ApplyReading(Reading{Revision: 4, Items: []hookhall.Item{item("1", 1), item("2", 2), item("3", 3), item("4", 4)}, Began: time.Now()}, "store")
	c.ApplyEvents([]hookhall.Item{{Key: "t/4", Revision: 5, Deleted: true}}, 5, time.Now())
	sampled := map[string]bool{}
	for range 200 {
		target, ok := c.SampleTarget(map[string]bool{"10.0.0.3:80": true})
		if !ok {
			t.Fatal("no target")
		}
		sampled[target.ID] = true
	}
	if len(sampled) != 2 || !sampled["1"] || !sampled["2"] {
		t.Errorf("sampled %v", sampled)
	}
	if target, ok := c.SampleTarget(map[string]bool{"10.0.0.1:80": true, "10.0.0.2:80": true, "10.0.0.3:80": true}); ok {
		t.Errorf("sampled %q though none is left", target.ID)
	}
}
