// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
)

// reading returns a reading of n targets that were all written at revision 1, except those that
// changed at other revisions.
func reading(at hookhall.Revision, n int, changed map[int]hookhall.Revision) Reading {
	r := Reading{Revision: at, Began: time.Now()}
	for i := range n {
		item := hookhall.Item{Key: fmt.Sprint("t/target-", i), Value: []byte("ready"), Revision: 1}
		if revision, ok := changed[i]; ok {
			item.Revision, item.Value = revision, []byte("leaving")
		}
		r.Items = append(r.Items, item)
	}
	return r
}

// without removes targets from the end of a reading.
func (r Reading) without(n int) Reading {
	r.Items = r.Items[:len(r.Items)-n]
	return r
}

// TestRepairIsSmall guards against repairs that send nearly all targets because a few that changed
// lie in nearly all buckets: many gateways that have missed the same update would fill the links
// of those which they ask.
func TestRepairIsSmall(t *testing.T) {
	const total, missed, gone = 10000, 100, 20
	changed := map[int]hookhall.Revision{}
	for i := range missed {
		changed[i*97] = 2
	}
	run := func(name string, test func(t *testing.T, reader, follower *Catalog)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
				reader.ApplyReading(reading(1, total, nil), "store")
				follower.ApplyReading(reading(1, total, nil), "store")
				time.Sleep(time.Second)
				reader.ApplyReading(reading(2, total, changed).without(gone), "store")
				test(t, reader, follower)
				if follower.Snapshot().Digest != reader.Snapshot().Digest || follower.Snapshot().Revision != reader.Snapshot().Revision {
					t.Error("the lists differ")
				}
			})
		})
	}
	run("the changes since the own revision", func(t *testing.T, reader, follower *Catalog) {
		repair := reader.RepairFor(follower.RepairRequest())
		if len(repair.Items) > missed || len(repair.Gone) != gone || repair.Since != 1 {
			t.Fatalf("%d targets and %d keys were sent", len(repair.Items), len(repair.Gone))
		}
		if !follower.ApplyRepair(repair, "reader") {
			t.Error("the repair left a gap")
		}
	})
	run("whole buckets once removed keys are forgotten", func(t *testing.T, reader, follower *Catalog) {
		time.Sleep(missingTTL + time.Second)
		reader.ApplyReading(reading(3, total, changed).without(gone+1), "store")
		repair := reader.RepairFor(follower.RepairRequest())
		if repair.Since != 0 || len(repair.Buckets) == 0 {
			t.Fatalf("changes since %d were sent, and %d buckets", repair.Since, len(repair.Buckets))
		}
		if !follower.ApplyRepair(repair, "reader") {
			t.Error("the repair left a gap")
		}
	})
}

// TestRepairBesideUpdates guards against a gap that is never closed because each repair meets a list
// that an update has changed meanwhile, and against lists that stay wrong because of that.
func TestRepairBesideUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.ApplyReading(reading(1, 100, nil), "store")
		follower.ApplyReading(reading(1, 100, nil), "store")
		changed := map[int]hookhall.Revision{}
		change := func(at hookhall.Revision) {
			time.Sleep(2 * changeResendTime) // updates no longer have the change before
			changed[int(at)] = at
			reader.ApplyReading(reading(at, 100, changed), "store")
		}
		change(2)
		change(3)
		repair := reader.RepairFor(follower.RepairRequest())
		change(4)
		if _, gap := follower.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader"); !gap {
			t.Fatal("the follower lacks no change")
		}
		if !follower.ApplyRepair(repair, "reader") || follower.Snapshot().Revision != 3 {
			t.Errorf("the follower is at revision %v", follower.Snapshot().Revision)
		}
		time.Sleep(copyTolerance)
		reader.ApplyEvents(nil, 5, time.Now())
		if _, gap := follower.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader"); gap {
			t.Error("the next update shows a gap")
		}
	})
}

// TestIncompleteRepair guards against lists that count as complete although the sender of a repair did
// not know a change: it has begun later, missed it, or has another digest.
func TestIncompleteRepair(t *testing.T) {
	agree := func(t *testing.T, sender, receiver *Catalog) {
		t.Helper()
		for range 2 { // the second repair has whole buckets if the first was not enough
			receiver.ApplyRepair(sender.RepairFor(receiver.RepairRequest()), "sender")
		}
		if receiver.Snapshot().Digest != sender.Snapshot().Digest || receiver.Snapshot().Revision != sender.Snapshot().Revision {
			t.Errorf("the list of revision %v differs from that of %v", receiver.Snapshot().Revision, sender.Snapshot().Revision)
		}
	}
	run := func(name string, test func(t *testing.T, sender, receiver *Catalog)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender, receiver := newCatalog(newFakeStore()), newCatalog(newFakeStore())
				receiver.ApplyReading(reading(10, 100, nil), "store")
				time.Sleep(time.Second)
				test(t, sender, receiver)
			})
		})
	}
	run("a sender that began after a removal", func(t *testing.T, sender, receiver *Catalog) {
		sender.ApplyReading(reading(15, 100, nil).without(1), "store")
		agree(t, sender, receiver)
	})
	run("a sender that lists targets of later revisions than its reading", func(t *testing.T, sender, receiver *Catalog) {
		sender.ApplyReading(reading(9, 100, map[int]hookhall.Revision{3: 12}).without(1), "store")
		sender.ApplyEvents(nil, 15, time.Now())
		agree(t, sender, receiver)
	})
	run("a removal that the sender finds in a list of an earlier revision", func(t *testing.T, sender, receiver *Catalog) {
		sender.ApplyReading(reading(10, 100, nil), "store")
		sender.ApplyEvents(nil, 14, time.Now())
		receiver.ApplyEvents(nil, 12, time.Now())
		sender.Reconcile(reading(11, 100, nil).without(2), "store")
		time.Sleep(time.Second)
		sender.ApplyEvents(nil, 15, time.Now())
		agree(t, sender, receiver)
	})
	run("a removal that the sender learns again from the store", func(t *testing.T, sender, receiver *Catalog) {
		sender.ApplyReading(reading(10, 100, nil), "store")
		sender.ApplyReading(reading(11, 100, nil).without(1), "store")
		receiver.ApplyEvents(nil, 12, time.Now())
		time.Sleep(time.Second)
		sender.ApplyEvents([]hookhall.Item{{Key: "t/target-99", Revision: 13, Deleted: true}}, 14, time.Now())
		agree(t, sender, receiver)
	})
	run("a digest that does not agree", func(t *testing.T, sender, receiver *Catalog) {
		sender.ApplyReading(reading(10, 100, nil), "store")
		sender.ApplyEvents(nil, 15, time.Now())
		wrong := sender.RepairFor(receiver.RepairRequest())
		wrong.Digest++
		if receiver.ApplyRepair(wrong, "sender") || receiver.Snapshot().Revision != 10 {
			t.Error("the list counts as complete")
		}
		if receiver.RepairRequest().Since != 0 {
			t.Error("whole buckets are not asked for")
		}
		agree(t, sender, receiver)
		if receiver.RepairRequest().Since == 0 {
			t.Error("whole buckets are asked for again")
		}
	})
	run("a sender with a gap", func(t *testing.T, sender, receiver *Catalog) {
		reader := newCatalog(newFakeStore())
		for _, c := range []*Catalog{reader, sender} {
			c.ApplyReading(reading(10, 100, nil), "store")
		}
		changed := map[int]hookhall.Revision{1: 11}
		reader.ApplyReading(reading(11, 100, changed), "store")
		time.Sleep(2 * changeResendTime)
		changed[2] = 12
		reader.ApplyReading(reading(12, 100, changed), "store")
		if _, gap := sender.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader"); !gap {
			t.Fatal("the sender has no gap")
		}
		receiver.ApplyRepair(sender.RepairFor(receiver.RepairRequest()), "sender")
		if receiver.Snapshot().Revision > 10 {
			t.Errorf("the receiver is at %v", receiver.Snapshot().Revision)
		}
		agree(t, reader, receiver)
	})
}

// TestHeartbeatsAreNoChanges guards against repairs that send all targets because each heartbeat
// raises the revision of a key.
func TestHeartbeatsAreNoChanges(t *testing.T) {
	sender, receiver := newCatalog(newFakeStore()), newCatalog(newFakeStore())
	receiver.ApplyReading(reading(10, 100, nil), "store")
	sender.ApplyReading(reading(10, 100, nil), "store")
	beats := reading(20, 100, nil)
	for i := range beats.Items {
		beats.Items[i].Revision = 15
	}
	sender.ApplyReading(beats, "store")
	if repair := sender.RepairFor(receiver.RepairRequest()); len(repair.Items) > 0 {
		t.Errorf("%d targets are sent", len(repair.Items))
	}
}

// TestRepeatedUpdates guards against copies of one update that multiply on their way: a process with
// a gap would pass on each of them.
func TestRepeatedUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.ApplyReading(reading(2, 100, map[int]hookhall.Revision{1: 2}), "store")
		follower.ApplyReading(reading(1, 50, nil), "store")
		time.Sleep(time.Second)
		update := reader.RecentUpdate(time.Now())
		if fresh, gap := follower.ApplyUpdate(update, "reader"); !fresh || !gap {
			t.Errorf("the first copy: fresh %v, gap %v", fresh, gap)
		}
		for range 5 {
			update.Began = update.Began.Add(3 * time.Millisecond)
			if fresh, _ := follower.ApplyUpdate(update, "reader"); fresh {
				t.Error("a copy counts as another update")
			}
		}
		update.Began = update.Began.Add(copyTolerance)
		if fresh, _ := follower.ApplyUpdate(update, "reader"); !fresh {
			t.Error("the next update counts as a copy")
		}
	})
}

// TestChangeLinesAreLimited guards against gateways that spend their processor time on a line for each
// of thousands of targets that start at the same time.
func TestChangeLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		c := newCatalog(newFakeStore())
		c.log = log.New(&lines)
		c.ApplyReading(reading(1, 0, nil), "store")
		c.ApplyReading(reading(2, 5000, nil), "store")
		if n := strings.Count(lines.String(), "target listed"); n != maxChangeLines {
			t.Errorf("%d of 5,000 changes have a line", n)
		}
		time.Sleep(time.Second)
		c.ApplyReading(reading(3, 5001, nil), "store")
		if want := fmt.Sprint("not_logged_before=", 5000-maxChangeLines); !strings.Contains(lines.String(), want) {
			t.Errorf("%q is not logged", want)
		}
	})
}

// TestChangesAreSentThreeTimes guards against updates that repeat each of a thousand changes a second
// ten times, which all gateways unpack.
func TestChangesAreSentThreeTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCatalog(newFakeStore())
		c.ApplyReading(reading(1, 100, nil), "store")
		c.ApplyReading(reading(2, 100, map[int]hookhall.Revision{1: 2}).without(1), "store")
		sent := func(update Update) bool { return len(update.Changed) == 1 && len(update.Gone) == 1 }
		for n := range 2 * maxChangeSends {
			if single := c.RecentUpdate(time.Now()); sent(single) != (n < maxChangeSends) {
				t.Errorf("to a single peer after %d updates: %v", n, sent(single))
			}
			if update := c.NextUpdate(time.Now()); sent(update) != (n < maxChangeSends) {
				t.Errorf("update %d has the changes: %v", n+1, sent(update))
			}
		}
		time.Sleep(time.Second)
		c.ApplyReading(reading(3, 100, map[int]hookhall.Revision{1: 2, 2: 3}).without(1), "store")
		time.Sleep(changeResendTime + time.Millisecond)
		if update := c.NextUpdate(time.Now()); len(update.Changed) > 0 {
			t.Error("a change is sent for longer than changeResendTime")
		}
	})
}
