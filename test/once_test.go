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

// slowAuthorisation makes the authorisation call take 300 ms, long enough to inject a
// fault while it runs.
var slowAuthorisation = map[string]standin.TargetSettings{
	"authorisation": {Capacity: 64, CallTime: 300 * time.Millisecond},
}

// approveKind returns the kind of a charge with a deadline of 2 s, which leaves time for a
// fault during its call.
func approveKind(c *cluster) load.Kind {
	k := c.kind("approve")
	k.DeadlineMS = 2000
	return k
}

// fuelCluster starts a cluster with the fuel profile, slow authorisation unless o says
// otherwise, and deadlines of up to 5 s for the station gateway's account.
func fuelCluster(t *testing.T, o options) *cluster {
	o.profile = load.Fuel()
	if o.settingsByPool == nil {
		o.settingsByPool = slowAuthorisation
	}
	o.extraEdits = append(o.extraEdits, forcedEdit("accounts", "station-gateway", "deadline_ms", "5000"))
	return newCluster(t, o)
}

// ownerOf returns the indexes of a key's owner, its standby and the last other entry, by the
// view of the first entry that answers; an index is -1 if there is no such entry.
func (c *cluster) ownerOf(account, key string) (owner, standby, other int) {
	var pairIDs [2]string
	for _, p := range c.entries {
		s, err := p.state()
		if err != nil {
			continue
		}
		pair := view.PairOf(s.Members, view.SlotOf(account+"/"+key))
		pairIDs = [2]string{pair.Owner.Instance, pair.Standby.Instance}
		break
	}
	owner, standby, other = -1, -1, -1
	for i, p := range c.entries {
		switch p.name {
		case pairIDs[0]:
			owner = i
		case pairIDs[1]:
			standby = i
		default:
			other = i
		}
	}
	return owner, standby, other
}

// awaitRun waits until the authorisation call of the request with the tag has begun.
func (c *cluster) awaitRun(tag string) {
	c.t.Helper()
	c.await(tag+" to run", func() bool { return c.countRuns(tag, "authorise") > 0 })
}

// TestOnceConcurrentSameKey guards against a charge that runs twice because it is sent
// with one idempotency key to all entries at the same time.
func TestOnceConcurrentSameKey(t *testing.T) {
	Convey("A charge sent with one key to all entries at the same time", t, func() {
		c := fuelCluster(t, options{})
		k := approveKind(c)
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
		Convey("runs once, and every caller gets the same answer", func() {
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

// TestOnceWithoutClaimsDoubles guards against an audit that misses double runs: with
// claims off, the same charge runs once per entry, and the audit must report it.
func TestOnceWithoutClaimsDoubles(t *testing.T) {
	Convey("Without claims the same charge runs more than once, and the audit reports it", t, func() {
		c := fuelCluster(t, options{extraSettings: "[policy]\nclaims = false\n"})
		k := approveKind(c)
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
		So(c.countRuns("bare", "authorise"), ShouldEqual, len(c.entries))
	})
}

// TestOnceFaults guards against a charge that runs again, or whose answer is lost, when an
// entry fails during its call. The charge is sent to one entry, a process is killed,
// frozen or cut off while the call runs, and the charge is sent again to another entry
// until it is answered or the retries are used up.
func TestOnceFaults(t *testing.T) {
	type victimRole int
	const (
		origin victimRole = iota
		owner
		standby
		ownerAndStandby
	)
	cases := []struct {
		name        string
		victim      victimRole
		injectFault func(p *process)
		restore     func(p *process)
		answered    bool // a retry must get the answer eventually
	}{
		{"origin killed", origin, (*process).kill, (*process).start, false},
		{"origin frozen, then thawed", origin, (*process).freeze, (*process).thaw, true},
		{"owner killed", owner, (*process).kill, (*process).start, true},
		{"owner frozen, then thawed", owner, (*process).freeze, (*process).thaw, true},
		{"owner cut off from its peers", owner, func(p *process) { disconnect(p.peersProxy) }, func(p *process) { reconnect(p.peersProxy) }, true},
		{"standby killed", standby, (*process).kill, (*process).start, true},
		{"standby frozen, then thawed", standby, (*process).freeze, (*process).thaw, true},
		{"owner and standby killed", ownerAndStandby, (*process).kill, (*process).start, false},
	}
	for _, x := range cases {
		Convey("A charge in progress, "+x.name, t, func() {
			c := fuelCluster(t, options{entries: 4, retentionSeconds: 30})
			k := approveKind(c)
			tag := "fault"
			ownerIndex, standbyIndex, _ := c.ownerOf(k.Account, tag)
			originIndex, retryIndex := -1, -1
			for i := range c.entries {
				if i != ownerIndex && i != standbyIndex {
					originIndex, retryIndex = retryIndex, i
				}
			}
			victims := map[victimRole][]int{origin: {originIndex}, owner: {ownerIndex}, standby: {standbyIndex}, ownerAndStandby: {ownerIndex, standbyIndex}}[x.victim]
			firstOutcome := make(chan *load.Outcome, 1)
			go func() { firstOutcome <- c.send(originIndex, k, tag, tag) }()
			c.awaitRun(tag)
			for _, v := range victims {
				x.injectFault(c.entries[v])
			}
			var retries []*load.Outcome
			for n := 0; n < 4; n++ {
				retries = append(retries, c.send(retryIndex, k, tag, tag))
			}
			for _, v := range victims {
				x.restore(c.entries[v])
			}
			if x.answered {
				c.awaitFleet(4)
			}
			last := c.send(retryIndex, k, tag, tag)
			for n := 0; n < 20 && x.answered && !last.Answered; n++ {
				time.Sleep(200 * time.Millisecond)
				last = c.send(retryIndex, k, tag, tag)
			}
			<-firstOutcome
			So(c.countRuns(tag, "authorise"), ShouldEqual, 1)
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

// TestOnceThroughOutage guards against charges that fail because the key-value service is
// down. If an entry is killed too, those whose owner and standby both run must still be
// served.
func TestOnceThroughOutage(t *testing.T) {
	Convey("With the key-value service down, charges are still served", t, func() {
		c := fuelCluster(t, options{})
		k := approveKind(c)
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
		t.Logf("served during the outage: %d of %d", answered, n)
	})
	Convey("With the service down and an entry killed, keys of running entries are served, and no verdict is false", t, func() {
		c := fuelCluster(t, options{})
		k := approveKind(c)
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
		// A third of the keys have neither owner nor standby on the killed entry.
		So(answered, ShouldBeGreaterThan, n/6)
		t.Logf("served during the outage with an entry killed: %d of %d", answered, n)
		Convey("and all keys are served when the service is back", func() {
			c.kv.SetFaults(standin.KeyValueFaults{})
			c.awaitFleet(2)
			o := c.send(0, k, "after", "after")
			So(o.Answered, ShouldBeTrue)
		})
	})
}

// TestOnceAnswerLost guards against a charge that runs again, or is reported as not run,
// after its answer was lost: the retry must get "outcome-unknown".
func TestOnceAnswerLost(t *testing.T) {
	Convey("A charge whose answer is lost after the run is not run again", t, func() {
		c := fuelCluster(t, options{settingsByPool: map[string]standin.TargetSettings{"authorisation": defaultTargetSettings}})
		k := approveKind(c)
		for id, s := range c.targetsByID {
			if id == "authorisation-0" || id == "authorisation-1" {
				s.SetFaults(standin.TargetFaults{LoseAnswer: 1})
			}
		}
		first := c.send(0, k, "lost", "lost")
		So(first.Answered, ShouldBeFalse)
		So(first.Problem, ShouldNotBeNil)
		So(first.Problem.Verdict, ShouldEqual, "may-have-run")
		for id, s := range c.targetsByID {
			if id == "authorisation-0" || id == "authorisation-1" {
				s.SetFaults(standin.TargetFaults{})
			}
		}
		again := c.send(1, k, "lost", "lost")
		So(again.Problem, ShouldNotBeNil)
		So(again.Problem.Cause, ShouldEqual, "outcome-unknown")
		So(again.Problem.RetryAfterMS, ShouldBeGreaterThan, 0)
		So(c.countRuns("lost", "authorise"), ShouldEqual, 1)
	})
}

// TestOnceKeyScope guards against idempotency keys that collide between accounts, and
// against a reused key that answers a different request.
func TestOnceKeyScope(t *testing.T) {
	Convey("Idempotency keys are scoped to their account", t, func() {
		c := newCluster(t, options{profile: load.Mixed(), extraEdits: []hookhall.Edit{forcedEdit("accounts", "station-gateway", "deadline_ms", "5000")}})
		charge, caption := c.kind("approve"), c.kind("caption")
		a := c.send(0, charge, "tag-a", "shared")
		b := c.send(1, caption, "tag-b", "shared")
		So(a.Answered, ShouldBeTrue)
		So(b.Answered, ShouldBeTrue)
		So(a.Output, ShouldNotEqual, b.Output)
		Convey("and a key reused with another request is refused", func() {
			o := c.send(2, charge, "tag-other", "shared")
			So(o.Problem, ShouldNotBeNil)
			So(o.Problem.Cause, ShouldEqual, "key-reused")
		})
		Convey("and a retry of a finished request gets the stored answer", func() {
			o := c.send(2, caption, "tag-b", "shared")
			So(o.Answered, ShouldBeTrue)
			So(o.Replayed, ShouldBeTrue)
			So(o.Output, ShouldEqual, b.Output)
		})
	})
}

// TestOnceRefusedRetry guards against a false "not-run": the retry of a charge that may
// have run is refused at the account's rate limit, which doesn't undo the first run.
func TestOnceRefusedRetry(t *testing.T) {
	Convey("A charge that may have run, sent again while its account is at its limit", t, func() {
		c := fuelCluster(t, options{settingsByPool: map[string]standin.TargetSettings{"authorisation": defaultTargetSettings}})
		k := approveKind(c)
		setLoseShare := func(share float64) {
			for id, s := range c.targetsByID {
				if id == "authorisation-0" || id == "authorisation-1" {
					s.SetFaults(standin.TargetFaults{LoseAnswer: share})
				}
			}
		}
		setLoseShare(1)
		first := c.send(0, k, "unsure", "unsure")
		So(first.Problem, ShouldNotBeNil)
		setLoseShare(0)
		out := c.edit([]hookhall.Edit{forcedEdit("accounts", k.Account, "rate", "0.01")})
		c.awaitVersion(out.Version, c.entries...)
		for i := 0; i < 3; i++ { // uses up what is left of the old rate
			c.send(i, k, fmt.Sprintf("spend-%d", i), fmt.Sprintf("spend-%d", i))
		}
		refused := c.send(1, k, "unsure", "unsure")
		So(refused.Problem, ShouldNotBeNil)
		So(refused.Problem.Cause, ShouldEqual, "limit")
		Convey("is refused, but not reported as not run", func() {
			So(refused.Problem.Verdict, ShouldEqual, "may-have-run")
		})
		Convey("while a charge without a claim is reported as not run", func() {
			fresh := c.send(1, k, "fresh", "fresh")
			So(fresh.Problem, ShouldNotBeNil)
			So(fresh.Problem.Verdict, ShouldEqual, "not-run")
		})
	})
}
