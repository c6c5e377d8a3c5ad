// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"context"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	. "github.com/smartystreets/goconvey/convey"
)

// runLoad sends a seeded load to all entries.
func (c *cluster) runLoad(rate float64, length time.Duration, seed uint64) []*load.Outcome {
	list := load.Plan{Profile: c.o.profile, Rate: rate, Duration: length, Seed: seed, Entries: len(c.entries)}.Draw()
	return load.Run(context.Background(), c.client, c.addresses(), c.o.profile, list, nil)
}

func TestWholeAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.TargetFaults
	}{
		{"answers cut in mid-stream", standin.TargetFaults{Truncate: 0.3}},
		{"answers lost after the run", standin.TargetFaults{Lose: 0.3}},
		{"answers of another request", standin.TargetFaults{Misdirect: 0.3}},
		{"answers with a changed byte", standin.TargetFaults{Corrupt: 0.3}},
		{"answers with a doubled word", standin.TargetFaults{Duplicate: 0.3}},
		{"failures after the run", standin.TargetFaults{FailAfter: 0.3}},
		{"refusals before the run", standin.TargetFaults{FailBefore: 0.3}},
		{"answers that are very late", standin.TargetFaults{Slow: 40}},
		{"all of it", standin.TargetFaults{Truncate: 0.1, Lose: 0.1, Misdirect: 0.1, Corrupt: 0.1, FailAfter: 0.1, FailBefore: 0.1, Duplicate: 0.1}},
	}
	Convey("At every stage of every pipeline", t, func() {
		c := newCluster(t, options{})
		for i, x := range cases {
			for _, s := range c.targets {
				s.SetFaults(x.faults)
			}
			outcomes := c.runLoad(80, 1500*time.Millisecond, uint64(i+1))
			for _, s := range c.targets {
				s.SetFaults(standin.TargetFaults{})
			}
			a := c.audit(outcomes)
			all, _ := load.Summarize(outcomes)
			t.Logf("%s: %d requests, %d answered in time, %d refused; %+v", x.name, all.Requests, all.InTime, all.Refused, *a)
			So(a.Examples, ShouldBeEmpty)
			So(a.Clean(), ShouldBeTrue)
			So(all.Requests, ShouldBeGreaterThan, 60)
		}
	})
}

func TestWholeAnswerAcrossTargets(t *testing.T) {
	Convey("When one of two engines cuts every answer short", t, func() {
		c := newCluster(t, options{})
		c.targets["engines-0"].SetFaults(standin.TargetFaults{Truncate: 1})
		k := c.kind("recap")
		restarted := 0
		var outcomes []*load.Outcome
		for i := 0; i < 20; i++ {
			tag := string(rune('a'+i)) + "-tag"
			o := c.send(i%3, k, tag, "")
			outcomes = append(outcomes, o)
			for _, x := range o.Cost {
				if x.Stage == "generate" && x.Calls > 1 && o.Answered {
					restarted++
				}
			}
		}
		a := c.audit(outcomes)
		So(a.Examples, ShouldBeEmpty)
		So(a.Clean(), ShouldBeTrue)
		So(restarted, ShouldBeGreaterThan, 0)
		t.Logf("answered after a restart on the other engine: %d of 20", restarted)
	})
}
