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

func endOf(content byte, target string) crashes.End {
	return crashes.End{Content: crashes.Digest{content}, Account: "a", Life: hookhall.Life{ID: target, Born: 5}, Software: "s v1", Served: true}
}

// TestEndsTravel: ends are read as they were written, but for their age on the way, which
// only grows; what is no digest is left out.
func TestEndsTravel(t *testing.T) {
	now := time.Now()
	e := endOf(1, "t")
	e.At = now.Add(-time.Second)
	wire := append(wireEnds([]crashes.End{e}, now), &pb.End{Content: []byte("short")}, &pb.End{})
	got := readEnds(older(wire, time.Second), now.Add(time.Second))
	if len(got) != 1 {
		t.Fatalf("%+v", got)
	}
	if early := e.At.Sub(got[0].At); early < 0 || early > 10*time.Millisecond {
		t.Errorf("it became %v older", early)
	}
	got[0].At = e.At
	if got[0] != e {
		t.Errorf("%+v became %+v", e, got[0])
	}
	future := readEnds([]*pb.End{{Content: e.Content[:], AgeMs: -60000}}, now)
	if future[0].At.After(now) {
		t.Error("an end of the future is believed")
	}
}

// TestLacking: a peer is told what it lacks, and nothing else.
func TestLacking(t *testing.T) {
	clear := func(e crashes.End) crashes.End {
		e.Cleared = true
		return e
	}
	one, two := endOf(1, "t1"), endOf(1, "t2")
	for name, c := range map[string]struct {
		own, theirs []crashes.End
		want        int
	}{
		"the same":                     {[]crashes.End{one, two}, []crashes.End{two, one}, 0},
		"one is not known there":       {[]crashes.End{one, two}, []crashes.End{one}, 1},
		"one is not known here":        {[]crashes.End{one}, []crashes.End{one, two}, 0},
		"one is not cleared there":     {[]crashes.End{clear(one)}, []crashes.End{one}, 1},
		"one is cleared there already": {[]crashes.End{one}, []crashes.End{clear(one)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := lacking(c.own, c.theirs); len(got) != c.want {
				t.Errorf("%+v", got)
			}
		})
	}
}
