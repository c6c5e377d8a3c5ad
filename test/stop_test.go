// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/load"
	. "github.com/smartystreets/goconvey/convey"
)

// balancer imitates a load balancer: it sends requests to the entries whose /readyz
// reported ready when it last polled, which it does every 30 ms.
type balancer struct {
	cluster *cluster
	mu      sync.Mutex
	ready   []int
	stop    context.CancelFunc
}

// newBalancer polls the entries once and then in the background until stop is called.
func (c *cluster) newBalancer() *balancer {
	ctx, stop := context.WithCancel(context.Background())
	b := &balancer{cluster: c, stop: stop}
	b.refreshReady()
	go func() {
		for ctx.Err() == nil {
			b.refreshReady()
			time.Sleep(30 * time.Millisecond)
		}
	}()
	return b
}

// refreshReady polls all entries and replaces the set of ready ones.
func (b *balancer) refreshReady() {
	var ready []int
	for i, p := range b.cluster.entries {
		resp, err := operatorClient.Get("http://" + p.callersAddress + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, i)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// pick returns the index of a random ready entry, or 0 if none is ready.
func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return 0
	}
	return b.ready[rand.IntN(len(b.ready))]
}

// sendDuring runs work and, until it returns, sends a request to a ready entry every
// interval. It returns all outcomes.
func (b *balancer) sendDuring(interval time.Duration, work func()) []*load.Outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var outcomes []*load.Outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	kinds := b.cluster.options.profile.Kinds
	for n := 0; ; n++ {
		select {
		case <-done:
			wg.Wait()
			return outcomes
		case <-time.After(interval):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := kinds[n%len(kinds)]
			tag := fmt.Sprintf("balanced-%d", n)
			key := ""
			if !k.Repeatable {
				key = tag
			}
			o := b.cluster.send(b.pick(), k, tag, key)
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		}()
	}
}

// TestPlannedStops guards against requests or claims that are lost when entries are
// restarted one after another by planned stops. With kills instead, the same load must lose
// requests, which shows that the test would detect a loss.
func TestPlannedStops(t *testing.T) {
	failures := func(outcomes []*load.Outcome) (refused, lost int) {
		all, _ := load.Summarize(outcomes)
		return all.Refused, all.Lost
	}
	Convey("Entries restarted one after another under load", t, func() {
		c := newCluster(t, options{noticeMS: 400})
		b := c.newBalancer()
		defer b.stop()
		Convey("by planned stops fail no request and keep their claims", func() {
			k := c.kind("caption")
			first := c.send(0, k, "kept", "kept")
			So(first.Answered, ShouldBeTrue)
			outcomes := b.sendDuring(4*time.Millisecond, func() {
				for _, p := range c.entries {
					p.stop()
					p.start()
					c.awaitFleet(3)
				}
			})
			refused, lost := failures(outcomes)
			a := c.audit(outcomes)
			t.Logf("planned: %d requests, %d refused, %d lost", len(outcomes), refused, lost)
			for _, o := range outcomes {
				if !o.Answered {
					t.Logf("%s at %s: %+v %v", o.Kind.Name, o.Entry, o.Problem, o.Err)
				}
			}
			So(refused+lost, ShouldEqual, 0)
			So(a.Examples, ShouldBeEmpty)
			So(a.Clean(), ShouldBeTrue)
			for _, p := range c.entries {
				So(p.logged("cut off"), ShouldBeFalse)
				So(p.logged("could not hand over"), ShouldBeFalse)
			}
			again := c.send(1, k, "kept", "kept")
			So(again.Answered, ShouldBeTrue)
			So(again.Replayed, ShouldBeTrue)
		})
		Convey("by kills lose requests, which the same load detects", func() {
			outcomes := b.sendDuring(4*time.Millisecond, func() {
				for _, p := range c.entries {
					p.kill()
					p.start()
					c.awaitFleet(3)
				}
			})
			refused, lost := failures(outcomes)
			t.Logf("killed: %d requests, %d refused, %d lost", len(outcomes), refused, lost)
			So(refused+lost, ShouldBeGreaterThan, 0)
			a := c.audit(outcomes)
			So(a.Doubled+a.FalseNotRun+a.Swapped, ShouldEqual, 0)
		})
	})
}

// TestPairStopsTogether guards against claims that are lost when owner and standby of a
// key stop at the same time, so that neither can take over from the other.
func TestPairStopsTogether(t *testing.T) {
	Convey("Owner and standby of a key stop at the same time", t, func() {
		c := newCluster(t, options{entries: 4, noticeMS: 1, retentionSeconds: 300})
		k := c.kind("caption")
		var tags []string
		for n := 0; n < 40; n++ {
			tag := fmt.Sprintf("pair-%d", n)
			tags = append(tags, tag)
			So(c.send(n%4, k, tag, tag).Answered, ShouldBeTrue)
		}
		owner, standby, _ := c.ownerOf(k.Account, tags[0])
		var wg sync.WaitGroup
		for _, i := range []int{owner, standby} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.entries[i].stop()
			}()
		}
		wg.Wait()
		c.awaitFleet(2)
		Convey("and the other entries still have the answer of every key", func() {
			for i := range c.entries {
				if i == owner || i == standby {
					continue
				}
				for _, tag := range tags {
					o := c.send(i, k, tag, tag)
					So(o.Answered, ShouldBeTrue)
					So(o.Replayed, ShouldBeTrue)
				}
			}
			for _, tag := range tags {
				So(c.countRuns(tag, "generate"), ShouldEqual, 1)
			}
		})
	})
}
