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

// balancer sends requests to entries that say they are ready, as it knew some
// moments ago.
type balancer struct {
	c     *cluster
	mu    sync.Mutex
	ready []int
	stop  context.CancelFunc
}

func (c *cluster) newBalancer() *balancer {
	ctx, stop := context.WithCancel(context.Background())
	b := &balancer{c: c, stop: stop}
	b.look()
	go func() {
		for ctx.Err() == nil {
			b.look()
			time.Sleep(30 * time.Millisecond)
		}
	}()
	return b
}

func (b *balancer) look() {
	var ready []int
	for i, p := range b.c.entries {
		resp, err := operator.Get("http://" + p.callers + "/readyz")
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

func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return 0
	}
	return b.ready[rand.IntN(len(b.ready))]
}

// load sends requests through the balancer until work returns.
func (b *balancer) load(gap time.Duration, work func()) []*load.Outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var outcomes []*load.Outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	kinds := b.c.o.profile.Kinds
	for n := 0; ; n++ {
		select {
		case <-done:
			wg.Wait()
			return outcomes
		case <-time.After(gap):
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
			o := b.c.send(b.pick(), k, tag, key)
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		}()
	}
}

func TestPlannedStops(t *testing.T) {
	failures := func(outcomes []*load.Outcome) (refused, lost int) {
		all, _ := load.Summarize(outcomes)
		return all.Refused, all.Lost
	}
	Convey("Entries restarted one after another under load", t, func() {
		c := newCluster(t, options{notice: 400})
		b := c.newBalancer()
		defer b.stop()
		Convey("as planned fail no request, and keep their claims", func() {
			k := c.kind("caption")
			first := c.send(0, k, "kept", "kept")
			So(first.Answered, ShouldBeTrue)
			outcomes := b.load(4*time.Millisecond, func() {
				for _, p := range c.entries {
					p.stop()
					p.start()
					c.awaitWhole(3)
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
		Convey("by kill lose some, which the same load shows", func() {
			outcomes := b.load(4*time.Millisecond, func() {
				for _, p := range c.entries {
					p.kill()
					p.start()
					c.awaitWhole(3)
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

func TestPairStopsTogether(t *testing.T) {
	Convey("Owner and standby of a key stop at the same moment", t, func() {
		c := newCluster(t, options{entries: 4, notice: 1, retention: 300})
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
		c.awaitWhole(2)
		Convey("and every key still has its first answer elsewhere", func() {
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
				So(c.runs(tag, "generate"), ShouldEqual, 1)
			}
		})
	})
}
