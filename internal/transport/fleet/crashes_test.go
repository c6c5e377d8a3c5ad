// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// crashOf returns a crash of a target under the content with the given first byte.
func crashOf(content byte, target string) crashes.Crash {
	return crashes.Crash{Content: crashes.Digest{content}, Account: "a", Incarnation: hookhall.Incarnation{ID: target, Start: 5}, Software: "s v1", RecentlyServed: true}
}

// TestCrashesRoundTrip guards against crashes that change while they are sent. Only their
// age grows, by the time that they were held. Crashes with an invalid digest are omitted,
// and a negative age does not place one in the future.
func TestCrashesRoundTrip(t *testing.T) {
	now := time.Now()
	e := crashOf(1, "t")
	e.ReportedAt = now.Add(-time.Second)
	wire := append(wireCrashes([]crashes.Crash{e}, now), &pb.End{Content: []byte("short")}, &pb.End{})
	got := readCrashes(addAge(wire, time.Second), now.Add(time.Second))
	if len(got) != 1 {
		t.Fatalf("%+v", got)
	}
	if early := e.ReportedAt.Sub(got[0].ReportedAt); early < 0 || early > 10*time.Millisecond {
		t.Errorf("the crash became %v older", early)
	}
	got[0].ReportedAt = e.ReportedAt
	if got[0] != e {
		t.Errorf("%+v was received as %+v", e, got[0])
	}
	future := readCrashes([]*pb.End{{Content: e.Content[:], AgeMs: -60000}}, now)
	if future[0].ReportedAt.After(now) {
		t.Error("a crash was accepted with a time in the future")
	}
}

// TestMissingFrom guards against ledgers that never agree, or that exchange what both
// have: a peer is sent the crashes that it lacks and no others.
func TestMissingFrom(t *testing.T) {
	clear := func(e crashes.Crash) crashes.Crash {
		e.Cleared = true
		return e
	}
	unserved := func(e crashes.Crash) crashes.Crash {
		e.RecentlyServed = false
		return e
	}
	one, two := crashOf(1, "t1"), crashOf(1, "t2")
	for name, c := range map[string]struct {
		own, theirs []crashes.Crash
		want        int
	}{
		"the same":                        {[]crashes.Crash{one, two}, []crashes.Crash{two, one}, 0},
		"one is unknown to the peer":      {[]crashes.Crash{one, two}, []crashes.Crash{one}, 1},
		"one is unknown here":             {[]crashes.Crash{one}, []crashes.Crash{one, two}, 0},
		"one is cleared only here":        {[]crashes.Crash{clear(one)}, []crashes.Crash{one}, 1},
		"one is cleared only at the peer": {[]crashes.Crash{one}, []crashes.Crash{clear(one)}, 0},
		"one was served only here":        {[]crashes.Crash{one}, []crashes.Crash{unserved(one)}, 1},
		"one was served only at the peer": {[]crashes.Crash{unserved(one)}, []crashes.Crash{one}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := missingFrom(c.own, c.theirs); len(got) != c.want {
				t.Errorf("%+v", got)
			}
		})
	}
}
