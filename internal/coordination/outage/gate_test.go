// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package outage

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// unavailableCallTime is how long a call to an unavailable store takes.
const unavailableCallTime = 900 * time.Millisecond

// fakeStore fails each call after unavailableCallTime while it is unavailable. It counts
// its calls.
type fakeStore struct {
	mu            sync.Mutex
	unavailable   bool
	calls         int
	lastWatchWait time.Duration // wait argument of the last Watch
	rangeTime     time.Duration // that a range takes beyond all other calls
	rangeError    error         // of ranges
	gets          int
}

// readRange answers a range.
func (s *fakeStore) readRange(ctx context.Context) error {
	if err := s.answer(ctx); err != nil {
		return err
	}
	time.Sleep(s.rangeTime)
	return s.rangeError
}

func (s *fakeStore) answer(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	unavailable := s.unavailable
	s.mu.Unlock()
	if !unavailable {
		return nil
	}
	select {
	case <-time.After(unavailableCallTime):
	case <-ctx.Done():
	}
	return hookhall.ErrUnavailable
}

// setUnavailable changes whether the store answers, and returns and resets the call count.
func (s *fakeStore) setUnavailable(unavailable bool) (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	calls, s.calls = s.calls, 0
	return calls
}

func (s *fakeStore) Get(ctx context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	s.gets++
	s.mu.Unlock()
	return hookhall.Item{Key: key}, 1, s.answer(ctx)
}
func (s *fakeStore) Range(ctx context.Context, _ string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 1, s.readRange(ctx)
}
func (s *fakeStore) RangeStale(ctx context.Context, _ string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 1, s.readRange(ctx)
}
func (s *fakeStore) Watch(ctx context.Context, _ string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	s.lastWatchWait = wait
	return nil, since, s.answer(ctx)
}
func (s *fakeStore) Put(ctx context.Context, _ string, _ []byte, _ hookhall.Lease) error {
	return s.answer(ctx)
}
func (s *fakeStore) Swap(ctx context.Context, _ string, _ []byte, expected hookhall.Revision) (hookhall.Revision, error) {
	return expected + 1, s.answer(ctx)
}
func (s *fakeStore) Grant(ctx context.Context, _ time.Duration) (hookhall.Lease, error) {
	return hookhall.Lease{Number: 1}, s.answer(ctx)
}
func (s *fakeStore) Renew(ctx context.Context, _ hookhall.Lease) error  { return s.answer(ctx) }
func (s *fakeStore) Revoke(ctx context.Context, _ hookhall.Lease) error { return s.answer(ctx) }

// harness is a Gate with three users that call it again 50 ms after each result.
type harness struct {
	store     *fakeStore
	gate      *Gate
	mu        sync.Mutex
	succeeded int
	failed    int
}

// runHarness runs a test in virtual time.
func runHarness(t *testing.T, pace Pace, test func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{store: &fakeStore{}}
		h.gate = NewGate(h.store)
		h.gate.Pace = func() Pace { return pace }
		ctx, cancel := context.WithCancel(t.Context())
		var users sync.WaitGroup
		for range 3 {
			users.Go(func() { h.callRepeatedly(ctx) })
		}
		test(t, h)
		cancel()
		users.Wait()
	})
}

// callRepeatedly makes and counts calls until ctx ends.
func (h *harness) callRepeatedly(ctx context.Context) {
	for ctx.Err() == nil {
		_, _, err := h.gate.Range(ctx, "k/")
		h.mu.Lock()
		if err == nil {
			h.succeeded++
		} else {
			h.failed++
		}
		h.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitLongPause waits for the start of a pause of the maximum length.
func (h *harness) awaitLongPause() {
	h.advance(5 * time.Minute)
	for h.store.setUnavailable(true); h.store.setUnavailable(true) == 0; h.advance(time.Second) {
	}
	h.advance(2 * unavailableCallTime)
	h.store.setUnavailable(true)
}

// advance waits for d and returns how many calls of the users succeeded and failed in it.
func (h *harness) advance(d time.Duration) (succeeded, failed int) {
	time.Sleep(d)
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	succeeded, failed = h.succeeded, h.failed
	h.succeeded, h.failed = 0, 0
	return succeeded, failed
}

// TestGate guards against an outage of the store in which every user of the process keeps
// calling it, and against a Gate that notices the store's return late or never.
func TestGate(t *testing.T) {
	t.Run("calls pass while the store answers", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Second}, func(t *testing.T, h *harness) {
			if succeeded, failed := h.advance(time.Second); succeeded < 57 || failed > 0 {
				t.Errorf("%d calls succeeded, %d failed", succeeded, failed)
			}
		})
	})
	t.Run("one call at a time is made while the store is unavailable", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Second}, func(t *testing.T, h *harness) {
			h.advance(time.Second)
			h.store.setUnavailable(true)
			_, failed := h.advance(20 * time.Second)
			calls := h.store.setUnavailable(true)
			if calls > 18 {
				t.Errorf("%d calls were made in 20 s; one in %v is enough", calls, unavailableCallTime+time.Second)
			}
			if failed < 3*calls-9 {
				t.Errorf("%d failures were returned to 3 users, with %d calls", failed, calls)
			}
		})
	})
	t.Run("calls succeed within one pause of the store's return", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Second}, func(t *testing.T, h *harness) {
			h.store.setUnavailable(true)
			h.advance(20 * time.Second)
			h.store.setUnavailable(false)
			h.advance(unavailableCallTime + 1300*time.Millisecond)
			if succeeded, failed := h.advance(time.Second); succeeded < 57 || failed > 0 {
				t.Errorf("%d calls succeeded, %d failed", succeeded, failed)
			}
		})
	})
	t.Run("calls succeed sooner when the probe is sent again", func(t *testing.T) {
		pace := Pace{MaxPause: 150 * time.Millisecond, HedgeInterval: 250 * time.Millisecond}
		runHarness(t, pace, func(t *testing.T, h *harness) {
			h.store.setUnavailable(true)
			h.advance(20 * time.Second)
			for range 20 {
				h.store.setUnavailable(false)
				if succeeded, _ := h.advance(450 * time.Millisecond); succeeded == 0 {
					t.Error("no call succeeded within 450 ms")
				}
				h.store.setUnavailable(true)
				h.advance(7110 * time.Millisecond) // the store returns at another point of a call each time
			}
		})
	})
	t.Run("a peer's answer ends the pause at once, but only once per outage", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Minute}, func(t *testing.T, h *harness) {
			h.store.setUnavailable(true)
			h.awaitLongPause()
			h.gate.ReportAnswered(time.Now())
			h.advance(2 * time.Second)
			if calls := h.store.setUnavailable(true); calls != 1 {
				t.Errorf("%d calls followed", calls)
			}
			h.gate.ReportAnswered(time.Now())
			h.advance(2 * time.Second)
			if calls := h.store.setUnavailable(true); calls != 0 {
				t.Errorf("%d calls followed the second report", calls)
			}
		})
	})
	t.Run("a peer's answer from before the outage ends no pause", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Minute}, func(t *testing.T, h *harness) {
			earlier := time.Now().Add(-time.Millisecond)
			h.store.setUnavailable(true)
			h.awaitLongPause()
			h.gate.ReportAnswered(earlier)
			h.advance(2 * time.Second)
			if calls := h.store.setUnavailable(true); calls != 0 {
				t.Errorf("%d calls followed", calls)
			}
		})
	})
	t.Run("Revoke does not wait for the pause", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Minute}, func(t *testing.T, h *harness) {
			h.store.setUnavailable(true)
			h.advance(time.Minute)
			h.store.setUnavailable(false)
			began := time.Now()
			if err := h.gate.Revoke(t.Context(), hookhall.Lease{Number: 1}); err != nil || time.Since(began) > 0 {
				t.Errorf("%v after %v", err, time.Since(began))
			}
		})
	})
	t.Run("a call ends with its context", func(t *testing.T) {
		runHarness(t, Pace{MaxPause: time.Minute}, func(t *testing.T, h *harness) {
			h.store.setUnavailable(true)
			h.advance(time.Minute)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			if err := h.gate.Renew(ctx, hookhall.Lease{Number: 1}); !errors.Is(err, hookhall.ErrUnavailable) || time.Since(began) > time.Second {
				t.Errorf("%v after %v", err, time.Since(began))
			}
		})
	})
}

// TestProbeWatchTimeout guards against a watch that, made as the probe, holds up all other
// callers for its whole wait although the store answers.
func TestProbeWatchTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		g := NewGate(s)
		watch := func(want time.Duration) {
			t.Helper()
			if _, _, err := g.Watch(t.Context(), "k/", 1, 8*time.Second); err != nil || s.lastWatchWait != want {
				t.Errorf("the watch waited %v, %v; want %v", s.lastWatchWait, err, want)
			}
		}
		watch(probeWatchTimeout) // the first call is a probe
		watch(8 * time.Second)
		s.setUnavailable(true)
		if err := g.Renew(t.Context(), hookhall.Lease{Number: 1}); !errors.Is(err, hookhall.ErrUnavailable) {
			t.Fatal(err)
		}
		s.setUnavailable(false)
		watch(probeWatchTimeout)
		watch(8 * time.Second)
	})
}

// TestRangesAreApart guards against registrations that end because a range is slow or fails while
// the store answers small calls.
func TestRangesAreApart(t *testing.T) {
	renew := func(t *testing.T, g *Gate) {
		t.Helper()
		began := time.Now()
		if err := g.Renew(t.Context(), hookhall.Lease{Number: 1}); err != nil || time.Since(began) > 0 {
			t.Errorf("a renewal took %v, %v", time.Since(began), err)
		}
	}
	readRange := func(t *testing.T, g *Gate, want error) {
		t.Helper()
		if _, _, err := g.Range(t.Context(), "k/"); !errors.Is(err, want) {
			t.Errorf("the range returned %v, want %v", err, want)
		}
	}
	t.Run("no call waits for a range that is the first call", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewGate(&fakeStore{rangeTime: 7 * time.Second})
			go func() { readRange(t, g, nil) }()
			synctest.Wait()
			renew(t, g)
			time.Sleep(7 * time.Second)
			synctest.Wait()
		})
	})
	t.Run("no call waits for a range that follows an outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{rangeTime: 7 * time.Second}
			g := NewGate(s)
			s.setUnavailable(true)
			_ = g.Renew(t.Context(), hookhall.Lease{Number: 1})
			s.setUnavailable(false)
			time.Sleep(time.Second)
			go func() { readRange(t, g, nil) }()
			synctest.Wait()
			renew(t, g)
			time.Sleep(7 * time.Second)
			synctest.Wait()
		})
	})
	t.Run("a range that fails stops no other calls", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewGate(&fakeStore{rangeError: hookhall.ErrUnavailable})
			for range 5 {
				readRange(t, g, hookhall.ErrUnavailable)
				renew(t, g)
			}
		})
	})
	t.Run("a small read comes before a range after one that failed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{rangeError: hookhall.ErrUnavailable}
			g := NewGate(s)
			readRange(t, g, hookhall.ErrUnavailable) // the first call of all is such a read, too
			s.rangeError = nil
			readRange(t, g, nil)
			readRange(t, g, nil)
			if s.gets != 2 {
				t.Errorf("%d small reads were made", s.gets)
			}
		})
	})
	t.Run("ranges wait for the end of an outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			g := NewGate(s)
			s.setUnavailable(true)
			readRange(t, g, hookhall.ErrUnavailable)
			if calls := s.setUnavailable(true); calls != 1 || s.gets != 1 {
				t.Errorf("%d calls were made, %d of them small", calls, s.gets)
			}
		})
	})
	t.Run("a call that is lost while later ones are answered is no outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{}
			g := NewGate(s)
			renew(t, g)
			s.setUnavailable(true)
			go func() { _ = g.Renew(t.Context(), hookhall.Lease{Number: 1}) }()
			synctest.Wait()
			s.setUnavailable(false)
			time.Sleep(unavailableCallTime / 2)
			renew(t, g)
			time.Sleep(unavailableCallTime)
			synctest.Wait()
			if g.failing {
				t.Error("the store counts as unavailable")
			}
		})
	})
}
