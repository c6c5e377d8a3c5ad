// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/view"
	. "github.com/smartystreets/goconvey/convey"
)

// slowService makes the service's call long enough for a fault to hit it.
var slowService = map[string]standin.TargetSettings{
	"authorisation": {Capacity: 64, Time: 300 * time.Millisecond},
}

// approve is a charge with a deadline that leaves room for a fault.
func approve(c *cluster) load.Kind {
	k := c.kind("approve")
	k.DeadlineMS = 2000
	return k
}

// longDeadline lets requests of the gateway take so long.
func fuelCluster(t *testing.T, o options) *cluster {
	o.profile = load.Fuel()
	if o.pools == nil {
		o.pools = slowService
	}
	o.edits = append(o.edits, set("accounts", "station-gateway", "deadline_ms", "5000"))
	return newCluster(t, o)
}

// ownerOf is the entry that owns a key, by the view of a running entry.
func (c *cluster) ownerOf(account, key string) (owner, standby, other int) {
	var members []string
	for _, p := range c.entries {
		s, err := p.state()
		if err != nil {
			continue
		}
		pair := view.PairOf(s.Members, view.SlotOf(account+"/"+key))
		members = []string{pair.Owner.Instance, pair.Standby.Instance}
		break
	}
	owner, standby, other = -1, -1, -1
	for i, p := range c.entries {
		switch p.name {
		case members[0]:
			owner = i
		case members[1]:
			standby = i
		default:
			other = i
		}
	}
	return owner, standby, other
}

// awaitRun waits until a tag's call has begun at its service.
func (c *cluster) awaitRun(tag string) {
	c.t.Helper()
	c.await(tag+" to run", func() bool { return c.runs(tag, "authorise") > 0 })
}

func TestOnceSameKeyAtOnce(t *testing.T) {
	Convey("A charge sent with one key to all entries at once", t, func() {
		c := fuelCluster(t, options{})
		k := approve(c)
		const keys = 40
		var outcomes []*load.Outcome
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n := 0; n < keys; n++ {
			tag := fmt.Sprintf("same-%d", n)
			for i := range c.entries {
				wg.Add(1)
				go func() {
					defer wg.Done()
					o := c.send(i, k, tag, tag)
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
				}()
			}
		}
		wg.Wait()
		a := c.audit(outcomes)
		Convey("runs once, and every caller gets the one answer", func() {
			So(a.Examples, ShouldBeEmpty)
			So(a.Clean(), ShouldBeTrue)
			answered := 0
			for _, o := range outcomes {
				if o.Answered {
					answered++
				} else {
					t.Logf("%s at %s: %+v %v", o.Tag, o.Entry, o.Problem, o.Err)
				}
			}
			So(answered, ShouldEqual, keys*len(c.entries))
		})
	})
}

func TestOnceWithoutClaimsDoubles(t *testing.T) {
	Convey("Without claims the same charges run more than once, and the audit sees it", t, func() {
		c := fuelCluster(t, options{settings: "[policy]\nclaims = false\n"})
		k := approve(c)
		var wg sync.WaitGroup
		outcomes := make([]*load.Outcome, len(c.entries))
		for i := range c.entries {
			wg.Add(1)
			go func() {
				defer wg.Done()
				outcomes[i] = c.send(i, k, "bare", "bare")
			}()
		}
		wg.Wait()
		So(c.audit(outcomes).Doubled, ShouldEqual, 1)
		So(c.runs("bare", "authorise"), ShouldEqual, len(c.entries))
	})
}

// TestOnceFaults sends a charge at one entry, hits a process in the middle of
// the service's call, and sends the charge again at another entry, until an
// answer or the last of the tries.
func TestOnceFaults(t *testing.T) {
	type who int
	const (
		origin who = iota
		owner
		standby
		ownerAndStandby
	)
	cases := []struct {
		name     string
		victim   who
		hit      func(p *process)
		heal     func(p *process)
		answered bool // the retry must get the answer in the end
	}{
		{"origin killed", origin, (*process).kill, (*process).start, false},
		{"origin frozen, then thawed", origin, (*process).freeze, (*process).thaw, true},
		{"owner killed", owner, (*process).kill, (*process).start, true},
		{"owner frozen, then thawed", owner, (*process).freeze, (*process).thaw, true},
		{"owner cut off", owner, func(p *process) { cut(p.cutPeers) }, func(p *process) { heal(p.cutPeers) }, true},
		{"standby killed", standby, (*process).kill, (*process).start, true},
		{"standby frozen, then thawed", standby, (*process).freeze, (*process).thaw, true},
		{"owner and standby killed", ownerAndStandby, (*process).kill, (*process).start, false},
	}
	for _, x := range cases {
		Convey("A charge in progress, "+x.name, t, func() {
			c := fuelCluster(t, options{entries: 4, retention: 30})
			k := approve(c)
			tag := "fault"
			own, stand, _ := c.ownerOf(k.Account, tag)
			from, again := -1, -1
			for i := range c.entries {
				if i != own && i != stand {
					from, again = again, i
				}
			}
			victims := map[who][]int{origin: {from}, owner: {own}, standby: {stand}, ownerAndStandby: {own, stand}}[x.victim]
			first := make(chan *load.Outcome, 1)
			go func() { first <- c.send(from, k, tag, tag) }()
			c.awaitRun(tag)
			for _, v := range victims {
				x.hit(c.entries[v])
			}
			var retries []*load.Outcome
			for n := 0; n < 4; n++ {
				retries = append(retries, c.send(again, k, tag, tag))
			}
			for _, v := range victims {
				x.heal(c.entries[v])
			}
			if x.answered {
				c.awaitWhole(4)
			}
			last := c.send(again, k, tag, tag)
			for n := 0; n < 20 && x.answered && !last.Answered; n++ {
				time.Sleep(200 * time.Millisecond)
				last = c.send(again, k, tag, tag)
			}
			<-first
			So(c.runs(tag, "authorise"), ShouldEqual, 1)
			a := c.audit(append(retries, last))
			So(a.Examples, ShouldBeEmpty)
			So(a.Clean(), ShouldBeTrue)
			if x.answered {
				So(last.Answered, ShouldBeTrue)
				So(last.Replayed, ShouldBeTrue)
			}
		})
	}
}

func TestOnceThroughOutage(t *testing.T) {
	Convey("With the key-value service down, charges go on", t, func() {
		c := fuelCluster(t, options{})
		k := approve(c)
		c.kv.SetFaults(standin.KeyValueFaults{Down: true})
		const n = 60
		answered := 0
		var outcomes []*load.Outcome
		for i := 0; i < n; i++ {
			tag := fmt.Sprintf("outage-%d", i)
			o := c.send(i%3, k, tag, tag)
			outcomes = append(outcomes, o, c.send((i+1)%3, k, tag, tag))
			if o.Answered {
				answered++
			}
		}
		So(answered, ShouldEqual, n)
		a := c.audit(outcomes)
		So(a.Examples, ShouldBeEmpty)
		So(a.Clean(), ShouldBeTrue)
		t.Logf("served in the outage: %d of %d", answered, n)
	})
	Convey("With the service down and an entry killed, keys of other owners go on, and no verdict is false", t, func() {
		c := fuelCluster(t, options{})
		k := approve(c)
		c.kv.SetFaults(standin.KeyValueFaults{Down: true})
		c.entries[2].kill()
		const n = 60
		answered := 0
		var outcomes []*load.Outcome
		for i := 0; i < n; i++ {
			tag := fmt.Sprintf("lame-%d", i)
			o := c.send(i%2, k, tag, tag)
			outcomes = append(outcomes, o)
			if o.Answered {
				answered++
			}
		}
		a := c.audit(outcomes)
		So(a.Examples, ShouldBeEmpty)
		So(a.Clean(), ShouldBeTrue)
		// A third of the keys has neither owner nor standby at the dead entry.
		So(answered, ShouldBeGreaterThan, n/6)
		t.Logf("served in the outage with an entry dead: %d of %d", answered, n)
		Convey("and all go on when the service is back", func() {
			c.kv.SetFaults(standin.KeyValueFaults{})
			c.awaitWhole(2)
			o := c.send(0, k, "after", "after")
			So(o.Answered, ShouldBeTrue)
		})
	})
}

func TestOnceAnswerLost(t *testing.T) {
	Convey("A charge whose answer is lost after it ran", t, func() {
		c := fuelCluster(t, options{pools: map[string]standin.TargetSettings{"authorisation": defaultPool}})
		k := approve(c)
		for id, s := range c.targets {
			if id == "authorisation-0" || id == "authorisation-1" {
				s.SetFaults(standin.TargetFaults{Lose: 1})
			}
		}
		first := c.send(0, k, "lost", "lost")
		So(first.Answered, ShouldBeFalse)
		So(first.Problem, ShouldNotBeNil)
		So(first.Problem.Verdict, ShouldEqual, "may-have-run")
		for id, s := range c.targets {
			if id == "authorisation-0" || id == "authorisation-1" {
				s.SetFaults(standin.TargetFaults{})
			}
		}
		again := c.send(1, k, "lost", "lost")
		So(again.Problem, ShouldNotBeNil)
		So(again.Problem.Cause, ShouldEqual, "outcome-unknown")
		So(again.Problem.RetryAfterMS, ShouldBeGreaterThan, 0)
		So(c.runs("lost", "authorise"), ShouldEqual, 1)
	})
}

func TestOnceKeys(t *testing.T) {
	Convey("Keys are an account's own", t, func() {
		c := newCluster(t, options{profile: load.Mixed(), edits: []hookhall.Edit{set("accounts", "station-gateway", "deadline_ms", "5000")}})
		charge, caption := c.kind("approve"), c.kind("caption")
		a := c.send(0, charge, "tag-a", "shared")
		b := c.send(1, caption, "tag-b", "shared")
		So(a.Answered, ShouldBeTrue)
		So(b.Answered, ShouldBeTrue)
		So(a.Output, ShouldNotEqual, b.Output)
		Convey("and a key with another request is refused", func() {
			o := c.send(2, charge, "tag-other", "shared")
			So(o.Problem, ShouldNotBeNil)
			So(o.Problem.Cause, ShouldEqual, "key-reused")
		})
		Convey("and a retry of a finished request gets its first answer", func() {
			o := c.send(2, caption, "tag-b", "shared")
			So(o.Answered, ShouldBeTrue)
			So(o.Replayed, ShouldBeTrue)
			So(o.Output, ShouldEqual, b.Output)
		})
	})
}

func TestOnceRefusedRetry(t *testing.T) {
	Convey("A charge that may have run, sent again while its account is at its limit", t, func() {
		c := fuelCluster(t, options{pools: map[string]standin.TargetSettings{"authorisation": defaultPool}})
		k := approve(c)
		lose := func(share float64) {
			for id, s := range c.targets {
				if id == "authorisation-0" || id == "authorisation-1" {
					s.SetFaults(standin.TargetFaults{Lose: share})
				}
			}
		}
		lose(1)
		first := c.send(0, k, "unsure", "unsure")
		So(first.Problem, ShouldNotBeNil)
		lose(0)
		out := c.edit([]hookhall.Edit{set("accounts", k.Account, "rate", "0.01")})
		c.awaitVersion(out.Version, c.entries...)
		for i := 0; i < 3; i++ { // what was left of the old rate is spent
			c.send(i, k, fmt.Sprintf("spend-%d", i), fmt.Sprintf("spend-%d", i))
		}
		refused := c.send(1, k, "unsure", "unsure")
		So(refused.Problem, ShouldNotBeNil)
		So(refused.Problem.Cause, ShouldEqual, "limit")
		Convey("is refused, but not called not run", func() {
			So(refused.Problem.Verdict, ShouldEqual, "may-have-run")
		})
		Convey("while one that nobody has claimed is", func() {
			fresh := c.send(1, k, "fresh", "fresh")
			So(fresh.Problem, ShouldNotBeNil)
			So(fresh.Problem.Verdict, ShouldEqual, "not-run")
		})
	})
}
