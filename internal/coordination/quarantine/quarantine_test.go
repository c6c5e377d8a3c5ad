// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// prober is a hookhall.Prober whose answers take a while.
type prober struct {
	refuses bool
	asked   atomic.Int64
}

func (p *prober) Refuses(ctx context.Context, _ string) bool {
	p.asked.Add(1)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Millisecond):
		return p.refuses
	}
}

// lives is a Catalog in which a target's life is over from a time on, or never.
type lives struct {
	over  bool
	after time.Duration
	began time.Time
}

func (l lives) Over(hookhall.Target) bool { return l.over && time.Since(l.began) >= l.after }

func target(id string) hookhall.Target {
	return hookhall.Target{ID: id, Address: "127.0.0.1:1", Version: "v1", Born: 1}
}

// newQuarantine makes one that collects what it tells.
func newQuarantine(p *prober, l lives) (q *Quarantine, told *[]crashes.End) {
	l.began = time.Now()
	q = New(p, l, nil, log.New(io.Discard))
	told = &[]crashes.End{}
	q.Tell = func(ends []crashes.End) { *told = append(*told, ends...) }
	return q, told
}

// settled is longer than finding out whether a life is over may take.
const settled = rebirthTime + time.Second

func TestBroke(t *testing.T) {
	for name, c := range map[string]struct {
		refuses bool
		lives   lives
		ends    int
	}{
		"the address refuses connections":   {true, lives{}, 1},
		"the target lives":                  {false, lives{}, 0},
		"another life is listed already":    {false, lives{over: true}, 1},
		"another life is listed soon":       {false, lives{over: true, after: time.Second}, 1},
		"another life is listed much later": {false, lives{over: true, after: time.Minute}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &prober{refuses: c.refuses}
				q, told := newQuarantine(p, c.lives)
				q.Broke(crashes.Digest{}, "", target("t")) // told by nobody
				for n := range 5 {
					q.Broke(crashes.Digest{byte(n + 1)}, "a", target("t"))
				}
				time.Sleep(settled)
				synctest.Wait()
				if len(q.All()) != 5*c.ends || len(*told) != 5*c.ends {
					t.Errorf("%d ends, %d told; want %d for each of five contents", len(q.All()), len(*told), c.ends)
				}
				if n := p.asked.Load(); n != 1 {
					t.Errorf("the target was probed %d times", n)
				}
			})
		})
	}
}

// TestProbesAgain: that a target lived a moment ago says nothing of a later answer.
func TestProbesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &prober{}
		q, _ := newQuarantine(p, lives{})
		q.Broke(crashes.Digest{1}, "a", target("t"))
		time.Sleep(settled)
		synctest.Wait()
		p.refuses = true
		q.Broke(crashes.Digest{1}, "a", target("t"))
		time.Sleep(settled)
		synctest.Wait()
		if n := len(q.All()); n != 1 {
			t.Errorf("%d ends", n)
		}
		q.forgetFindings(time.Now().Add(time.Minute))
		if len(q.findings) != 0 {
			t.Errorf("%d findings are kept", len(q.findings))
		}
	})
}

// TestServed: a whole answer clears what was held against a content, here and elsewhere.
func TestServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, told := newQuarantine(&prober{refuses: true}, lives{})
		content := func() crashes.Digest { return crashes.Digest{1} }
		for _, id := range []string{"t1", "t2", "t3"} {
			one.Broke(content(), "a", target(id))
		}
		time.Sleep(settled)
		synctest.Wait()
		if !one.Standing(content).Refused() {
			t.Fatal("not refused")
		}
		two, _ := newQuarantine(&prober{}, lives{})
		two.Learn(*told, "one")
		if !two.Standing(content).Refused() || two.Sum(time.Now()) != one.Sum(time.Now()) {
			t.Fatal("not refused by whom it was told")
		}
		one.Served(content)
		time.Sleep(settled)
		synctest.Wait()
		two.Learn(*told, "one")
		if one.Standing(content).Refused() || two.Standing(content).Refused() {
			t.Error("still refused")
		}
	})
}

// TestNoDigest: while nothing is held against any content, none is made to ask for it.
func TestNoDigest(t *testing.T) {
	q, _ := newQuarantine(&prober{}, lives{})
	content := func() crashes.Digest {
		t.Error("a digest was made")
		return crashes.Digest{}
	}
	if q.Standing(content).Refused() {
		t.Error("refused")
	}
}

// TestRecord: what is written is read as it was, but for its age.
func TestRecord(t *testing.T) {
	now := time.Now()
	var ends []crashes.End
	for n := range 3 {
		ends = append(ends, crashes.End{
			Content: crashes.Digest{1}, Account: "a", Life: hookhall.Life{ID: "t", Born: int64(n)}, Software: "s v1",
			Served: n == 0, Cleared: n == 1, At: now.Add(time.Duration(n) * time.Second),
		})
	}
	value, err := json.Marshal(newRecord(ends))
	if err != nil {
		t.Fatal(err)
	}
	later := now.Add(time.Minute)
	got, err := readRecord(hookhall.Item{Value: value}, later)
	if err != nil || len(got) != 3 {
		t.Fatalf("%v, %v", got, err)
	}
	for n, e := range ends {
		e.At = later.Add(time.Duration(n-2) * time.Second)
		if got[n] != e {
			t.Errorf("%+v became %+v", e, got[n])
		}
	}
}

// TestReadRecord: records that can't be read are no records.
func TestReadRecord(t *testing.T) {
	now := time.Now()
	ends := []crashes.End{{Content: crashes.Digest{1, 2}, Account: "a", Life: hookhall.Life{ID: "t", Born: 5}, Software: "s v1", Cleared: true, At: now}}
	for name, c := range map[string]struct {
		value string
		want  bool
	}{
		"a record":       {`{"content":"01020000000000000000000000000000","account":"a","ends":[{"target":"t","born":5,"software":"s v1","cleared":true}]}`, true},
		"no JSON":        {`{`, false},
		"no content":     {`{"ends":[{"target":"t"}]}`, false},
		"a short digest": {`{"content":"0102","ends":[{"target":"t"}]}`, false},
		"no ends":        {`{"content":"01020000000000000000000000000000"}`, false},
		"another type":   {`{"content":"01020000000000000000000000000000","ends":"t"}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := readRecord(hookhall.Item{Key: prefix + "x", Value: []byte(c.value)}, now)
			if (err == nil) != c.want || (c.want && got[0] != ends[0]) {
				t.Errorf("%v, %v", got, err)
			}
		})
	}
}
