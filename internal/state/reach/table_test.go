// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"fmt"
	"testing"
	"time"
)

// testTable is a Table in a time that the test sets.
type testTable struct {
	*Table
	t   *testing.T
	now time.Time
}

func newTestTable(t *testing.T) *testTable {
	return &testTable{&Table{}, t, time.Unix(1000, 0)}
}

func (t *testTable) pass(d time.Duration) { t.now = t.now.Add(d) }

// detour makes a target fail here and be reached by a relay, and reports whether that raises the
// suspicion of an isolation.
func (t *testTable) detour(address string) (suspected bool) {
	t.Failed(address, Refused, t.now)
	t.RelayConnected(address, t.now)
	return t.Suspected()
}

// isolate makes several targets fail that relays reach.
func (t *testTable) isolate() {
	t.t.Helper()
	for i := range isolationCount {
		suspected := t.detour(fmt.Sprint("target-", i))
		if suspected != (i == isolationCount-1) || t.Isolate(t.now) != suspected {
			t.t.Fatalf("suspected after %d targets: %v", i+1, suspected)
		}
	}
}

// wantPath fails the test unless connections to a target take a path.
func (t *testTable) wantPath(address string, want Path) {
	t.t.Helper()
	if got := t.Path(address, t.now); got != want {
		t.t.Errorf("path to %s is %d, want %d", address, got, want)
	}
}

// TestOneObserverDetoursNothing guards against a target that counts as unreachable for this process
// alone, though it is down: only a relay that reaches it shows that.
func TestOneObserverDetoursNothing(t *testing.T) {
	table := newTestTable(t)
	for i := range 10 {
		table.Failed(fmt.Sprint("target-", i), TimedOut, table.now)
		table.RelayFailed(fmt.Sprint("target-", i), table.now)
		table.wantPath(fmt.Sprint("target-", i), Direct)
	}
	if table.Isolated() || table.NeedsProbes() {
		t.Error("isolated though no target is reachable")
	}
	t.Run("relays are not asked again at once", func(t *testing.T) {
		if table.MayRelay("target-1", table.now) || !table.MayRelay("target-1", table.now.Add(downLifetime)) || !table.MayRelay("another", table.now) {
			t.Error("wrong targets may be relayed")
		}
	})
}

// TestDetour checks the path to one target that only relays reach, until a probe succeeds.
func TestDetour(t *testing.T) {
	table := newTestTable(t)
	table.detour("a")
	table.wantPath("a", Relayed)
	table.wantPath("b", Direct)
	var probes []time.Duration
	for start := table.now; len(probes) < 4; table.pass(10 * time.Millisecond) {
		table.wantPath("a", Relayed) // requests use it
		if address, ok := table.NextProbe(table.now); ok {
			probes = append(probes, table.now.Sub(start))
			table.Failed(address, Refused, table.now)
		}
	}
	if probes[0] != 500*time.Millisecond || probes[1] != time.Second || probes[2] != 2*time.Second || probes[3] != 4*time.Second {
		t.Errorf("probes after %v", probes)
	}
	if lost, _ := table.Connected("a", table.now); lost == 0 {
		t.Error("the return was not noticed")
	}
	table.wantPath("a", Direct)
	if table.NeedsProbes() || table.Count() != 0 {
		t.Error("the record was kept")
	}
}

// TestUnusedDetourEnds guards against probes of targets that no request needs.
func TestUnusedDetourEnds(t *testing.T) {
	table := newTestTable(t)
	table.detour("a")
	table.pass(unusedLifetime)
	if address, ok := table.NextProbe(table.now); ok || table.NeedsProbes() {
		t.Errorf("%q is probed", address)
	}
	table.isolate()
	table.pass(unusedLifetime)
	if address, ok := table.NextProbe(table.now); ok || table.Isolated() {
		t.Errorf("%q is probed while isolated", address)
	}
}

// TestIsolation checks that a process which several targets in a row refuse uses relays for all,
// and returns to direct connections after a few probes.
func TestIsolation(t *testing.T) {
	t.Run("begins with several targets in a row", func(t *testing.T) {
		table := newTestTable(t)
		table.isolate()
		table.wantPath("any other", Relayed)
	})
	t.Run("does not begin with a direct connection in between", func(t *testing.T) {
		table := newTestTable(t)
		for i := range 10 {
			table.Connected("reachable", table.now)
			if table.detour(fmt.Sprint("target-", i)) {
				t.Fatal("isolated")
			}
		}
		table.wantPath("reachable", Direct)
	})
	t.Run("does not begin with an answer in between", func(t *testing.T) {
		table := newTestTable(t)
		for i := range 10 {
			table.Answered()
			if table.detour(fmt.Sprint("target-", i)) {
				t.Fatal("suspected")
			}
		}
		if table.Isolate(table.now) {
			t.Error("isolated without a suspicion")
		}
	})
	t.Run("begins with probes that fail after the last answer", func(t *testing.T) {
		table := newTestTable(t)
		for i := range isolationCount {
			table.detour(fmt.Sprint("target-", i))
			table.Answered()
		}
		table.RelayFailed("target-0", table.now)
		for i := range isolationCount {
			table.Failed(fmt.Sprint("target-", i), TimedOut, table.now)
		}
		if table.Suspected() {
			t.Error("suspected, though relays did not reach one of the targets")
		}
		table.RelayConnected("target-0", table.now)
		if !table.Suspected() {
			t.Error("not suspected")
		}
	})
	t.Run("does not begin with failures far apart", func(t *testing.T) {
		table := newTestTable(t)
		for i := range 10 {
			if table.detour(fmt.Sprint("target-", i)) {
				t.Fatal("isolated")
			}
			table.pass(evidenceLifetime)
		}
	})
	t.Run("ends after probes in a row", func(t *testing.T) {
		table := newTestTable(t)
		table.isolate()
		table.probe(true, 1)
		table.probe(false, 1)
		table.probe(true, 1)
		if !table.Isolated() {
			t.Fatal("ended by probes that did not follow each other")
		}
		table.probe(true, 1)
		if table.Isolated() {
			t.Fatal("not ended")
		}
		table.wantPath("any other", Direct)
	})
	t.Run("takes more probes if it returns soon", func(t *testing.T) {
		table := newTestTable(t)
		for _, want := range []int{2, 4, 8, 8} {
			table.isolate()
			if got := table.probesToEnd(); got != want {
				t.Errorf("%d probes, want %d", got, want)
			}
		}
		table.pass(flapTime)
		table.isolate()
		if got := table.probesToEnd(); got != minPasses {
			t.Errorf("%d probes long after the last isolation", got)
		}
	})
}

// probe makes n probes with an outcome, each when it is due.
func (t *testTable) probe(succeeds bool, n int) {
	for n > 0 {
		t.pass(10 * time.Millisecond)
		address, ok := t.NextProbe(t.now)
		if !ok {
			continue
		}
		n--
		if succeeds {
			t.Connected(address, t.now)
		} else {
			t.Failed(address, TimedOut, t.now)
		}
	}
}

// probesToEnd returns how many successful probes end the isolation.
func (t *testTable) probesToEnd() int {
	n := 0
	for ; t.Isolated(); n++ {
		t.probe(true, 1)
	}
	return n
}

// TestDetoursOutliveIsolation guards against requests that wait for targets which stay unreachable when
// the others return.
func TestDetoursOutliveIsolation(t *testing.T) {
	table := newTestTable(t)
	table.isolate()
	table.pass(5 * time.Second)
	table.Failed("target-0", TimedOut, table.now)
	table.Connected("target-1", table.now)
	table.Connected("target-2", table.now)
	table.wantPath("target-0", Relayed)
	table.wantPath("target-1", Direct)
	table.wantPath("another", Direct)
}

// TestBreaks checks when broken connections are the fault of this process's path.
func TestBreaks(t *testing.T) {
	now := time.Unix(1000, 0)
	breakAll := func(b *Breaks, n int, pause time.Duration, answers bool) (isOwnPath bool) {
		for i := range n {
			isOwnPath = b.Broke(fmt.Sprint("target-", i), now.Add(time.Duration(i)*pause))
			if answers {
				b.Answered()
			}
		}
		return isOwnPath
	}
	for name, c := range map[string]struct {
		targets int
		pause   time.Duration
		answers bool
		want    bool
	}{
		"two targets":                       {2, 0, false, false},
		"many targets together":             {5, time.Millisecond, false, true},
		"many targets with answers between": {5, time.Millisecond, true, false},
		"many targets far apart":            {5, time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := breakAll(&Breaks{}, c.targets, c.pause, c.answers); got != c.want {
				t.Errorf("own path: %v", got)
			}
		})
	}
	t.Run("many connections of one target", func(t *testing.T) {
		var b Breaks
		for range 10 {
			if b.Broke("a", now) {
				t.Fatal("a target that crashes is taken for this process's path")
			}
		}
	})
}
