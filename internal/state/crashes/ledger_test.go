// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

var (
	limits = Limits{Ends: 3, Keep: time.Minute, Contents: 8, PerAccount: 4}
	start  = time.Unix(1000, 0)
)

// end is the end of target n of version v1 under a content of account a, when the tests
// begin.
func end(content byte, n int) End {
	return End{Content: Digest{content}, Account: "a", Life: hookhall.Life{ID: fmt.Sprint("target-", n)}, Software: "s v1", At: start}
}

func cleared(e End) End {
	e.Cleared = true
	return e
}

// wantStanding holds how many ends count against a content, and whether it is refused.
func wantStanding(t *testing.T, l *Ledger, content byte, ends int, refused bool) {
	t.Helper()
	s := l.Standing(Digest{content})
	if _, listed := l.Refused()[Digest{content}]; s.Ends != ends || s.Refused() != refused || listed != refused {
		t.Errorf("content %d: %d ends, refused %v; want %d, %v", content, s.Ends, s.Refused(), ends, refused)
	}
}

func TestSum(t *testing.T) {
	one := Sum("account", "host", "/path?a=1", []byte("body"))
	for name, c := range map[string]struct {
		account, host, uri, body string
		same                     bool
	}{
		"the same":         {"account", "host", "/path?a=1", "body", true},
		"another account":  {"account2", "host", "/path?a=1", "body", false},
		"another host":     {"account", "host2", "/path?a=1", "body", false},
		"another path":     {"account", "host", "/path2?a=1", "body", false},
		"another query":    {"account", "host", "/path?a=2", "body", false},
		"another body":     {"account", "host", "/path?a=1", "body2", false},
		"another division": {"accounth", "ost", "/path?a=1", "body", false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Sum(c.account, c.host, c.uri, []byte(c.body)); (got == one) != c.same {
				t.Errorf("%s, %s", got, one)
			}
		})
	}
}

func TestStanding(t *testing.T) {
	reborn := end(1, 1)
	reborn.Life.Born = 5
	for name, c := range map[string]struct {
		ends    []End
		count   int
		refused bool
	}{
		"one end":                      {[]End{end(1, 1)}, 1, false},
		"two ends":                     {[]End{end(1, 1), end(1, 2)}, 2, false},
		"three ends":                   {[]End{end(1, 1), end(1, 2), end(1, 3)}, 3, true},
		"the same end told thrice":     {[]End{end(1, 1), end(1, 1), end(1, 1)}, 1, false},
		"two lives of one target":      {[]End{end(1, 1), reborn, end(1, 2)}, 3, true},
		"ends under another content":   {[]End{end(1, 1), end(1, 2), end(2, 3)}, 2, false},
		"one is cleared":               {[]End{end(1, 1), end(1, 2), cleared(end(1, 3))}, 2, false},
		"one is cleared later":         {[]End{end(1, 1), end(1, 2), end(1, 3), cleared(end(1, 3))}, 2, false},
		"cleared news comes first":     {[]End{cleared(end(1, 3)), end(1, 3), end(1, 1), end(1, 2)}, 2, false},
		"three after three cleared":    {[]End{cleared(end(1, 1)), cleared(end(1, 2)), cleared(end(1, 3)), end(1, 4), end(1, 5), end(1, 6)}, 3, true},
		"an end that is past its time": {[]End{end(1, 1), end(1, 2), {Content: Digest{1}, Account: "a", Life: hookhall.Life{ID: "old"}, At: start.Add(-time.Hour)}}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(limits)
			for _, e := range c.ends {
				l.Learn([]End{e}, start)
			}
			wantStanding(t, l, 1, c.count, c.refused)
		})
	}
}

// TestOneMoment: ends at one moment under a content that was served before count once; under
// one that was not, each counts.
func TestOneMoment(t *testing.T) {
	for name, c := range map[string]struct {
		served  bool
		apart   time.Duration
		ends    int
		refused bool
	}{
		"at once, never served":       {false, 0, 3, true},
		"at once, served before":      {true, 0, 1, false},
		"in one moment, served":       {true, 100 * time.Millisecond, 1, false},
		"one after the other, served": {true, oneMoment, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(limits)
			for n := range 3 {
				e := end(1, n)
				e.Served = c.served
				e.At = start.Add(time.Duration(n) * c.apart)
				l.Learn([]End{e}, e.At)
			}
			wantStanding(t, l, 1, c.ends, c.refused)
		})
	}
}

// TestRecent: what was served is remembered for a while, and not for long.
func TestRecent(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"at once":              {0, true},
		"within its time":      {recentTime - time.Second, true},
		"in the next":          {recentTime + time.Second, true},
		"after both":           {2 * recentTime, false},
		"after a long silence": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRecent(start)
			r.Add(Digest{1}, start)
			if got := r.Has(Digest{1}, start.Add(c.after)); got != c.want || r.Has(Digest{2}, start) {
				t.Errorf("remembered: %v", got)
			}
		})
	}
	r := NewRecent(start)
	for n := range 3 * recentMost {
		r.Add(Digest{byte(n), byte(n >> 8)}, start)
	}
	if n := r.current.Load().count.Load(); n > recentMost {
		t.Errorf("%d contents are remembered", n)
	}
}

// TestClear: a whole answer clears what came before, not what comes after.
func TestClear(t *testing.T) {
	l := NewLedger(limits)
	l.Learn([]End{end(1, 1), end(1, 2), end(1, 3)}, start)
	wantStanding(t, l, 1, 3, true)
	if got := l.Clear(Digest{1}); len(got) != 3 {
		t.Errorf("%d ends were cleared", len(got))
	}
	wantStanding(t, l, 1, 0, false)
	l.Learn([]End{end(1, 4), end(1, 3)}, start)
	wantStanding(t, l, 1, 1, false)
	if got := l.Clear(Digest{7}); len(got) != 0 {
		t.Errorf("%d ends of an unknown content were cleared", len(got))
	}
}

// TestVersions: another version of the software is tried once more.
func TestVersions(t *testing.T) {
	l := NewLedger(limits)
	l.Learn([]End{end(1, 1), end(1, 2), end(1, 3)}, start)
	s := l.Standing(Digest{1})
	if !s.RefusedBy("s v1") || s.RefusedBy("s v2") {
		t.Errorf("refused by v1 %v, by v2 %v", s.RefusedBy("s v1"), s.RefusedBy("s v2"))
	}
	newer := end(1, 4)
	newer.Software = "s v2"
	l.Learn([]End{newer}, start)
	if s := l.Standing(Digest{1}); !s.RefusedBy("s v2") {
		t.Error("v2 ended under it, and would get it again")
	}
}

// TestExpire: ends are forgotten after their time, counted from their first report.
func TestExpire(t *testing.T) {
	l := NewLedger(limits)
	late := end(1, 3)
	late.At = start.Add(30 * time.Second)
	l.Learn([]End{end(1, 1), end(1, 2), late}, late.At)
	wantStanding(t, l, 1, 3, true)
	early := late
	early.At = start.Add(10 * time.Second)
	l.Learn([]End{early}, late.At) // somebody heard of it before
	l.Expire(start.Add(limits.Keep))
	wantStanding(t, l, 1, 1, false)
	l.Expire(start.Add(limits.Keep + 10*time.Second))
	if len(l.All()) != 0 {
		t.Errorf("%d ends are kept", len(l.All()))
	}
}

// TestBounds: the ledger stays within its bounds, and no account takes others' room.
func TestBounds(t *testing.T) {
	l := NewLedger(limits)
	guilty := []End{end(200, 1), end(200, 2), end(200, 3)}
	for i := range guilty {
		guilty[i].Account = "b"
	}
	l.Learn(guilty, start)
	for n := range 100 {
		e := end(byte(n), n)
		e.At = start.Add(time.Duration(n) * time.Millisecond)
		l.Learn([]End{e}, start.Add(time.Second))
	}
	if n := int(l.held.Load()); n != limits.PerAccount+1 {
		t.Errorf("%d contents are remembered", n)
	}
	wantStanding(t, l, 200, 3, true)
	wantStanding(t, l, 99, 1, false) // the newest of its account
	for n := range 100 {
		e := end(byte(n), n)
		e.Account = fmt.Sprint("account-", n)
		l.Learn([]End{e}, start)
	}
	if n := int(l.held.Load()); n != limits.Contents {
		t.Errorf("%d contents are remembered", n)
	}
	wantStanding(t, l, 200, 3, true)
}

// TestMerge: ledgers that learn the same get equal, in any order and however often.
func TestMerge(t *testing.T) {
	wide := Limits{Ends: 3, Keep: time.Minute, Contents: 100, PerAccount: 100}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		var ends []End
		for range 30 {
			e := end(byte(r.IntN(5)), r.IntN(6))
			e.Cleared = r.IntN(4) == 0
			e.Life.Born = int64(r.IntN(2))
			ends = append(ends, e)
		}
		var sums []uint64
		for range 4 {
			l := NewLedger(wide)
			told := append(slices.Clone(ends), ends[:r.IntN(len(ends))]...)
			r.Shuffle(len(told), func(i, j int) { told[i], told[j] = told[j], told[i] })
			for len(told) > 0 {
				n := min(1+r.IntN(5), len(told))
				l.Learn(told[:n], start)
				told = told[n:]
			}
			sums = append(sums, l.Sum(start))
		}
		if slices.Min(sums) != slices.Max(sums) {
			t.Fatalf("seed %d: sums %v", seed, sums)
		}
	}
	if sum := NewLedger(wide).Sum(start); sum != 0 {
		t.Errorf("an empty ledger has the sum %d", sum)
	}
}

var sink Digest

func BenchmarkSum(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 10 << 20} {
		b.Run(fmt.Sprint(size>>10, "KB"), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				sink = Sum("account", "host.example", "/path/of/a/request", body)
			}
		})
	}
}

func BenchmarkStanding(b *testing.B) {
	l := NewLedger(Limits{Ends: 3, Keep: time.Minute, Contents: 4096, PerAccount: 4096})
	for n := range 4096 {
		l.Learn([]End{{Content: Digest{byte(n), byte(n >> 8)}, Life: hookhall.Life{ID: "t"}, At: start}}, start)
	}
	for b.Loop() {
		if l.Standing(Digest{1, 2}).Refused() {
			b.Fatal("refused")
		}
	}
}

// BenchmarkLearn: one more end under one of 4,096 contents.
func BenchmarkLearn(b *testing.B) {
	l := NewLedger(Limits{Ends: 3, Keep: time.Hour, Contents: 4096, PerAccount: 4096})
	for n := range 4096 {
		l.Learn([]End{{Content: Digest{byte(n), byte(n >> 8)}, Life: hookhall.Life{ID: "t"}, At: start}}, start)
	}
	n := int64(0)
	for b.Loop() {
		n++
		l.Learn([]End{{Content: Digest{byte(n), byte(n>>8) & 15}, Life: hookhall.Life{ID: "t", Born: n >> 12}, At: start}}, start)
	}
}
