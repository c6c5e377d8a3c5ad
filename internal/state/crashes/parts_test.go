// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

var partLimits = Limits{MinCrashes: 3, Retention: 10 * time.Minute, MaxContents: 4096, MaxContentsPerAccount: 1024, SimultaneousWindow: 100 * time.Millisecond, ServedWindow: 250 * time.Millisecond, MinServedCrashes: 5}

// identityOf returns the identity of a request of an account with parts that a text names, separated
// by spaces.
func identityOf(account, parts string) Identity {
	i := Identity{Account: account}
	for _, id := range strings.Fields(parts) {
		i.Parts = append(i.Parts, NewPart("service", "model", id))
	}
	return i
}

// partCrashes is a test of Parts with a clock of its own and a number for each crashed target.
type partCrashes struct {
	*Parts
	now     time.Time
	targets int
}

// crash records the crash of a target that ran requests with these lists of parts, a second after the
// crash before.
func (p *partCrashes) crash(account string, requests ...string) {
	p.crashAt("s v1", account, requests...)
}

// crashAt is crash for a target with other software.
func (p *partCrashes) crashAt(software, account string, requests ...string) {
	p.now = p.now.Add(time.Second)
	p.targets++
	var list []Crash
	for _, parts := range requests {
		for _, part := range identityOf(account, parts).Parts {
			list = append(list, Crash{
				Content: part.Digest, Part: part.ID, Account: account, Software: software, ReportedAt: p.now,
				Incarnation: hookhall.Incarnation{ID: fmt.Sprint(p.targets)},
			})
		}
	}
	p.Merge(list, p.now)
}

// TestRefusedParts guards against refusing requests that only share parts with the one that crashes
// targets, and against running more of the latter than needed to tell them apart.
func TestRefusedParts(t *testing.T) {
	for name, c := range map[string]struct {
		crashes [][]string // the requests at each crashed target
		refused []string
		allowed []string
	}{
		"alone":                                 {[][]string{{"bad"}, {"bad"}, {"bad"}}, []string{"bad", "x bad"}, []string{"x"}},
		"two crashes":                           {[][]string{{"bad"}, {"bad"}}, nil, []string{"bad"}},
		"beside unlike parts":                   {[][]string{{"a bad"}, {"b bad"}, {"c bad"}}, []string{"bad", "d bad"}, []string{"a", "b"}},
		"always beside another":                 {[][]string{{"a bad"}, {"a bad"}, {"a bad"}}, []string{"a bad", "bad a x"}, []string{"a", "bad", "a x"}},
		"once without the other":                {[][]string{{"a bad"}, {"a bad"}, {"a bad"}, {"bad"}}, []string{"a bad"}, []string{"a", "bad"}},
		"three times without the other":         {[][]string{{"a bad"}, {"a bad"}, {"a bad"}, {"bad"}, {"bad"}, {"bad"}}, []string{"a bad", "bad"}, []string{"a"}},
		"two at once":                           {[][]string{{"bad"}, {"worse"}, {"bad"}, {"worse"}, {"bad"}, {"worse"}}, []string{"bad", "worse"}, []string{"x"}},
		"beside a bystander":                    {[][]string{{"bad", "x"}, {"bad", "x"}, {"bad", "x"}, {"bad"}, {"bad"}, {"bad"}}, []string{"bad"}, []string{"x"}},
		"a common part and one other crash":     {[][]string{{"a bad"}, {"a bad"}, {"a bad"}, {"a x"}}, []string{"a bad"}, []string{"a", "a x", "a y"}},
		"a common part is the cause":            {[][]string{{"a x"}, {"a x"}, {"a x"}, {"a y"}, {"a z"}, {"a v"}}, []string{"a", "a v"}, []string{"x", "y"}},
		"beside two others in turn":             {[][]string{{"a bad"}, {"b bad"}, {"a bad"}}, []string{"bad", "a bad", "c bad"}, []string{"a", "b"}},
		"two at once, and a common part":        {[][]string{{"a bad"}, {"a worse"}, {"a bad"}, {"a worse"}, {"a bad"}, {"a worse"}}, []string{"a bad", "a worse"}, []string{"a", "a x"}},
		"a common part, and three more crashes": {[][]string{{"a bad"}, {"a worse"}, {"a bad"}, {"a worse"}, {"a bad"}, {"a worse"}, {"a x"}, {"a y"}, {"a z"}}, []string{"a", "a x"}, []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := &partCrashes{Parts: NewParts(partLimits), now: start}
			for _, requests := range c.crashes {
				p.crash("account", requests...)
			}
			wantRefused(t, p, "account", c.refused, true)
			wantRefused(t, p, "account", c.allowed, false)
		})
	}
}

// wantRefused checks whether requests with these lists of parts are refused.
func wantRefused(t *testing.T, p *partCrashes, account string, requests []string, want bool) {
	t.Helper()
	for _, parts := range requests {
		if got := p.Status(identityOf(account, parts), p.now).RefusedBy("s v1"); got != want {
			t.Errorf("a request of %s with parts %q: refused %v, want %v", account, parts, got, want)
		}
	}
}

// TestPartsOfAnotherAccount guards against an account that has the parts of another one refused by
// listing them beside a cause of its own.
func TestPartsOfAnotherAccount(t *testing.T) {
	p := &partCrashes{Parts: NewParts(partLimits), now: start}
	for range 3 {
		p.crash("hostile", "a")
	}
	wantRefused(t, p, "hostile", []string{"a"}, true)
	wantRefused(t, p, "victim", []string{"a"}, false)
	t.Run("one crash of the other account decides", func(t *testing.T) {
		p.crash("victim", "a")
		wantRefused(t, p, "victim", []string{"a"}, true)
		wantRefused(t, p, "third", []string{"a"}, true)
	})
	t.Run("an answer decides", func(t *testing.T) {
		p.Served(identityOf("victim", "a").Parts, "s v1")
		wantRefused(t, p, "hostile", []string{"a"}, false)
	})
}

// TestServedPart guards against parts that stay refused though targets with the same software serve
// them, and against an answer of other software that clears them.
func TestServedPart(t *testing.T) {
	p := &partCrashes{Parts: NewParts(partLimits), now: start}
	for range 3 {
		p.crash("account", "a bad")
	}
	p.Served(identityOf("account", "a").Parts, "s v2")
	wantRefused(t, p, "account", []string{"bad"}, false)
	p.Served(identityOf("account", "a").Parts, "s v1")
	wantRefused(t, p, "account", []string{"bad"}, true)
	wantRefused(t, p, "account", []string{"a"}, false)
	if p.Status(identityOf("account", "bad"), p.now).RefusedBy("s v2") {
		t.Error("refused for targets with other software, none of which crashed")
	}
	t.Run("an operator releases it with those it can't be told from", func(t *testing.T) {
		for range 3 {
			p.crash("account", "x y")
		}
		if cleared := p.Release(NewPart("service", "model", "x").Digest); len(cleared) != 6 {
			t.Errorf("%d crashes cleared", len(cleared))
		}
		wantRefused(t, p, "account", []string{"x", "y", "x y"}, false)
		wantRefused(t, p, "account", []string{"bad"}, true)
	})
	t.Run("it expires", func(t *testing.T) {
		p.Expire(p.now.Add(partLimits.Retention))
		wantRefused(t, p, "account", []string{"bad"}, false)
	})
}

// TestServedPartBesideFaulty guards against refusing a common part that targets served between the
// crashes, when they crash again with it for other reasons: the crashes that were cleared are no longer
// those of the faulty part.
func TestServedPartBesideFaulty(t *testing.T) {
	p := &partCrashes{Parts: NewParts(partLimits), now: start}
	p.crash("account", "a bad")
	p.Served(identityOf("account", "a").Parts, "s v1")
	for range 3 {
		p.crash("account", "a bad")
	}
	for range 4 {
		p.crash("account", "a")
	}
	wantRefused(t, p, "account", []string{"bad", "a bad"}, true)
	wantRefused(t, p, "account", []string{"a", "a x"}, false)
	for range 3 {
		p.crash("account", "a")
	}
	wantRefused(t, p, "account", []string{"a"}, true)
	t.Run("it is allowed again after a while, and with further crashes later", func(t *testing.T) {
		p.now = p.now.Add(maxServedRefusal - time.Second)
		wantRefused(t, p, "account", []string{"a"}, false)
		p.crash("account", "a")
		wantRefused(t, p, "account", []string{"a"}, true)
		p.now = p.now.Add(minServedRefusal)
		wantRefused(t, p, "account", []string{"a"}, true)
	})
}

// TestServedPartBesideSeveralFaulty guards against refusing a common part that targets served, and with it
// its route, when several other parts crash targets, each too few for a refusal of its own.
func TestServedPartBesideSeveralFaulty(t *testing.T) {
	p := &partCrashes{Parts: NewParts(partLimits), now: start}
	p.crash("account", "a")
	p.Served(identityOf("account", "a").Parts, "s v1")
	for _, faulty := range []string{"b", "c", "d"} {
		p.crash("account", "a "+faulty)
		p.crash("account", "a "+faulty)
	}
	wantRefused(t, p, "account", []string{"a", "a x"}, false)
}

// TestServedPartBecomesFaulty guards against a served part that crashes targets from some time on and is never
// refused, because each crash has another part that no target has served as well.
func TestServedPartBecomesFaulty(t *testing.T) {
	for name, c := range map[string]struct{ sharing, crashes int }{
		"beside parts seen once":  {1, partLimits.MinServedCrashes},
		"beside parts seen twice": {2, suspectedCrashes * partLimits.MinServedCrashes},
	} {
		t.Run(name, func(t *testing.T) {
			p := &partCrashes{Parts: NewParts(partLimits), now: start}
			p.crash("account", "a")
			p.Served(identityOf("account", "a").Parts, "s v1")
			for n := range c.crashes {
				p.crash("account", fmt.Sprint("a x", n/c.sharing))
			}
			wantRefused(t, p, "account", []string{"a", "a z"}, true)
		})
	}
}

// TestPartAtVersions guards against refusing a part at a version for the crashes of another one, and against
// counting a part that crashes targets of two versions for each alone.
func TestPartAtVersions(t *testing.T) {
	for name, c := range map[string]struct {
		v1, v2         int // crashes
		refused1, both bool
	}{
		"three crashes, two of one version":     {1, 2, false, false},
		"four crashes, two of each":             {2, 2, false, false},
		"three of one, none of the other":       {3, 0, true, false},
		"three of one, one of the other":        {3, 1, true, false},
		"five crashes, two of the second":       {3, 2, true, true},
		"six crashes, only one of the second":   {5, 1, true, false},
		"six crashes, three of each of the two": {3, 3, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &partCrashes{Parts: NewParts(partLimits), now: start}
			for n := range max(c.v1, c.v2) {
				if n < c.v1 {
					p.crashAt("s v1", "account", "a")
				}
				if n < c.v2 {
					p.crashAt("s v2", "account", "a")
				}
			}
			status := p.Status(identityOf("account", "a"), p.now)
			if got1, got2 := status.RefusedBy("s v1"), status.RefusedBy("s v2"); got1 != c.refused1 || got2 != c.both {
				t.Errorf("refused by v1 %v, by v2 %v; want %v, %v", got1, got2, c.refused1, c.both)
			}
		})
	}
}

// TestServedRefusalTime checks how long a part that was served is refused.
func TestServedRefusalTime(t *testing.T) {
	for further, want := range map[int]time.Duration{0: 5 * time.Second, 1: 10 * time.Second, 3: 40 * time.Second, 1000: maxServedRefusal} {
		if got := servedRefusalTime(further); got != want {
			t.Errorf("%d further crashes: %v, want %v", further, got, want)
		}
	}
}

// TestPartDigests guards against parts of different services or models that count as one.
func TestPartDigests(t *testing.T) {
	digests := map[Digest]string{}
	for _, names := range [][3]string{{"s", "m", "id"}, {"s", "n", "id"}, {"t", "m", "id"}, {"s", "m", "ie"}, {"sm", "", "id"}, {"s", "", "mid"}} {
		d := NewPart(names[0], names[1], names[2]).Digest
		if other, known := digests[d]; known {
			t.Errorf("%v has the digest of %s", names, other)
		}
		digests[d] = fmt.Sprint(names)
	}
	if part := NewPart("s", "m", strings.Repeat("x", 1000)); len(part.ID) != maxPartID {
		t.Errorf("an ID of %d bytes", len(part.ID))
	}
}

const (
	commonParts = 8    // first parts of the simulated requests
	rareParts   = 2000 // second parts
)

// simulatedParts returns the parts of a harmless request: a common one, then a rare one.
func (s *sim) simulatedParts() []Part {
	return []Part{simulatedPart(1, s.rand.IntN(commonParts)), simulatedPart(2, s.rand.IntN(rareParts))}
}

// simulatedPart returns the nth part at a position.
func simulatedPart(position byte, n int) Part {
	p := Part{ID: fmt.Sprint(position, "-", n)}
	p.Digest[0] = position
	binary.LittleEndian.PutUint32(p.Digest[1:], uint32(n))
	return p
}

// TestMassCrashOfParts is TestMassCrash for requests of which no two are alike: a fifth of the targets
// crash at once, a fifth one after another, and unlike requests with a part that crashes every
// target are sent in four streams beside harmless ones with the same first part.
func TestMassCrashOfParts(t *testing.T) {
	for seed := range uint64(2) {
		s := newSimulation(refusalRule{clearsOnAnswer: true, mergesSimultaneous: true}, seed)
		s.parts, s.recentParts = NewParts(partLimits), NewRecent[PartAt](start)
		for n := range 100000 {
			var content Digest
			binary.LittleEndian.PutUint64(content[:], uint64(n)+1000)
			parts := s.simulatedParts()
			s.schedule(time.Duration(s.rand.Int64N(int64(60*time.Second))), func() { s.send(&request{content: content, parts: parts}) })
		}
		s.schedule(10*time.Second, func() {
			for n := range simulatedTargets / 5 {
				s.crash(n)
			}
		})
		for n := range simulatedTargets / 5 {
			s.schedule(30*time.Second+time.Duration(n)*50*time.Millisecond, func() { s.crash(50 + n) })
		}
		for n := range 400 {
			content, first := Digest{15: 1, 14: byte(n), 13: byte(n >> 8)}, simulatedPart(1, s.rand.IntN(commonParts))
			s.schedule(20*time.Second+time.Duration(n)*50*time.Millisecond, func() {
				s.send(&request{content: content, parts: []Part{first, simulatedPart(3, 0)}, faulty: true})
			})
		}
		s.runEvents()
		t.Logf("seed %d: %d harmless requests refused, %d targets crashed by the faulty part", seed, s.harmlessRefused, s.crashedTargets)
		if s.harmlessRefused > 0 {
			t.Errorf("seed %d: %d harmless requests were refused", seed, s.harmlessRefused)
		}
		if s.crashedTargets > 30 {
			t.Errorf("seed %d: %d targets crashed by the faulty part", seed, s.crashedTargets)
		}
	}
}

// BenchmarkPartsStatus measures reading the status of a request with three parts while one part is
// refused and 4,096 have crashes.
func BenchmarkPartsStatus(b *testing.B) {
	p := &partCrashes{Parts: NewParts(Limits{MinCrashes: 3, Retention: time.Hour, MaxContents: 4096, MaxContentsPerAccount: 4096, ServedWindow: time.Second}), now: start}
	for n := range 4093 {
		p.crash("account", fmt.Sprint(n))
	}
	for range 3 {
		p.crash("account", "bad")
	}
	i := identityOf("account", "1 2 3")
	for b.Loop() {
		if p.Status(i, p.now).Refused() {
			b.Fatal("refused")
		}
	}
}

// BenchmarkPartsMerge measures the report of a crash beside 4,096 parts, of which 1,000 have crashes
// enough to be refused, each at targets of its own.
func BenchmarkPartsMerge(b *testing.B) {
	p := &partCrashes{Parts: NewParts(Limits{MinCrashes: 3, Retention: 1000 * time.Hour, MaxContents: 4096, MaxContentsPerAccount: 4096, ServedWindow: time.Second}), now: start}
	var list []Crash
	for n := range 3000 {
		part := NewPart("s", "m", fmt.Sprint(n%1000))
		list = append(list, Crash{Content: part.Digest, Part: part.ID, Incarnation: hookhall.Incarnation{ID: fmt.Sprint(n)}, ReportedAt: start})
	}
	for n := range 3000 {
		part := NewPart("s", "m", fmt.Sprint("x", n))
		list = append(list, Crash{Content: part.Digest, Part: part.ID, Incarnation: hookhall.Incarnation{ID: fmt.Sprint(n)}, ReportedAt: start})
	}
	p.Merge(list, start)
	n := 0
	for b.Loop() {
		n++
		p.Merge([]Crash{{Content: Digest{1}, Part: "a", Incarnation: hookhall.Incarnation{ID: "t", Start: int64(n % 8)}, Cleared: n%16 > 8, ReportedAt: start}}, start)
	}
}
