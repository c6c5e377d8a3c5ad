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

// runLoad sends the profile's requests, drawn from a seed, to all entries at rate requests
// per second for the given duration.
func (c *cluster) runLoad(rate float64, duration time.Duration, seed uint64) []*load.Outcome {
	requests := load.Plan{Profile: c.options.profile, Rate: rate, Duration: duration, Seed: seed, EntryCount: len(c.entries)}.Draw()
	return load.Run(context.Background(), c.client, c.addresses(), c.options.profile, requests, nil)
}

// TestAnswerIntegrity guards against answers that reach callers although a target cut them
// short, mixed them up, altered or lost them, and against false verdicts on such requests.
// Each fault hits a share of the calls at all targets.
func TestAnswerIntegrity(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.TargetFaults
	}{
		{"answers truncated in mid-stream", standin.TargetFaults{Truncate: 0.3}},
		{"answers lost after the run", standin.TargetFaults{LoseAnswer: 0.3}},
		{"answers of another request", standin.TargetFaults{Misdirect: 0.3}},
		{"answers with a changed byte", standin.TargetFaults{Corrupt: 0.3}},
		{"answers with a doubled word", standin.TargetFaults{Duplicate: 0.3}},
		{"failures after the run", standin.TargetFaults{FailAfter: 0.3}},
		{"refusals before the run", standin.TargetFaults{FailBefore: 0.3}},
		{"answers that are very slow", standin.TargetFaults{SlowFactor: 40}},
		{"all faults but slowness", standin.TargetFaults{Truncate: 0.1, LoseAnswer: 0.1, Misdirect: 0.1, Corrupt: 0.1, FailAfter: 0.1, FailBefore: 0.1, Duplicate: 0.1}},
	}
	Convey("Faulty answers of targets are not delivered, at every stage of every pipeline", t, func() {
		c := newCluster(t, options{})
		for i, x := range cases {
			for _, s := range c.targetsByID {
				s.SetFaults(x.faults)
			}
			outcomes := c.runLoad(80, 1500*time.Millisecond, uint64(i+1))
			for _, s := range c.targetsByID {
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

// TestTruncatedAnswerRetriedElsewhere guards against truncated answers that are delivered,
// or not retried on another target, when one of two engines truncates every answer.
func TestTruncatedAnswerRetriedElsewhere(t *testing.T) {
	Convey("When one of two engines truncates every answer", t, func() {
		c := newCluster(t, options{})
		c.targetsByID["engines-0"].SetFaults(standin.TargetFaults{Truncate: 1})
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
