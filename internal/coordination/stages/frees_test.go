// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// TestFreesAreBatched guards against a call for each stage that frees results (20,230 calls
// in 46 s at one broker), against results that are lost between two calls, and against
// results that are freed more than freeInterval late.
func TestFreesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, remote := newRemoteFixture(0)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 500 * time.Microsecond) // spread over the 50 ms below
				for k := range 20 {
					f.runner.free("encode", []string{fmt.Sprint(i, "-", k)})
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		n := len(remote.freeCalls())
		if t.Logf("%d calls", n); n == 0 || n > 100 {
			t.Errorf("%d calls for 2000 frees in 1.05 s, want 100 at most", n)
		}
		freed := map[string]bool{}
		for _, call := range remote.freeCalls() {
			for _, h := range call.handles {
				freed[h] = true
			}
		}
		if len(freed) != 2000 {
			t.Errorf("%d of 2000 results were freed", len(freed))
		}
		f.runner.free("encode", []string{"last"})
		before := len(remote.freeCalls())
		time.Sleep(freeInterval)
		synctest.Wait()
		if len(remote.freeCalls()) != before+1 {
			t.Errorf("not freed after %v", freeInterval)
		}
	})
}

// TestFreesKeepTheirKind guards against results of one service or kind that are freed as
// those of another: results that are probably not needed must not be freed without need.
func TestFreesKeepTheirKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, remote := newRemoteFixture(0)
		f.runner.free("encode", []string{"a"})
		f.runner.freeIfMemoryConstrained("encode", []string{"b"})
		f.runner.free("rank", []string{"c"})
		f.runner.free("encode", []string{"d"})
		f.runner.free("rank", nil)
		time.Sleep(time.Second)
		synctest.Wait()
		var got []string
		for _, call := range remote.freeCalls() {
			got = append(got, fmt.Sprint(call))
		}
		slices.Sort(got)
		want := []string{"{encode [a d] false}", "{encode [b] true}", "{rank [c] false}"}
		if !slices.Equal(got, want) {
			t.Errorf("calls %v, want %v", got, want)
		}
	})
}

// unfreeingRemote can't be reached to free results.
type unfreeingRemote struct{ countingRemote }

func (*unfreeingRemote) Free(context.Context, string, []string, bool) error {
	return errors.New("connection refused")
}

// TestFreesWithoutBroker guards against results that occupy memory until they expire
// because the broker that should free them has ended.
func TestFreesWithoutBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newRemoteFixture(0)
		f.runner.Remote = func(string) Remote { return &unfreeingRemote{} }
		f.pool.held["encode-a/1"], f.pool.held["encode-a/2"] = true, true
		f.runner.free("encode", []string{"encode-a/1"})
		f.runner.freeIfMemoryConstrained("encode", []string{"encode-a/2"})
		time.Sleep(time.Second)
		synctest.Wait()
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		if !f.pool.held["encode-a/2"] || len(f.pool.held) != 1 {
			t.Errorf("held %v, want only encode-a/2", f.pool.held)
		}
	})
}

// TestFreesOverBrokenLinks guards against results that keep the memory of a pool because the link to
// their target was broken for a moment, and against calls to a target that is gone: another service may
// have its address.
func TestFreesOverBrokenLinks(t *testing.T) {
	for name, c := range map[string]struct {
		broken    time.Duration // how long the link is
		handle    string
		isFreed   bool
		mostCalls int
	}{
		"a sound link":                   {0, "encode-a/1", true, 1},
		"a moment":                       {300 * time.Millisecond, "encode-a/1", true, 4},
		"two seconds":                    {2 * time.Second, "encode-a/1", true, 7},
		"until the target drops results": {time.Hour, "encode-a/1", false, 9},
		"a target that is not listed":    {300 * time.Millisecond, "gone/1", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(1)
				f.pool.held[c.handle], f.pool.freeFailsTo = true, time.Now().Add(c.broken)
				f.runner.Local.Free("encode", []string{c.handle})
				time.Sleep(5 * time.Second)
				if (f.pool.heldCount() == 0) != c.isFreed || f.pool.freeCalls > c.mostCalls {
					t.Errorf("%d results held after %d calls", f.pool.heldCount(), f.pool.freeCalls)
				}
			})
		})
	}
}
