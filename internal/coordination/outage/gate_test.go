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

// silence is how long a call of a store that is away takes.
const silence = 900 * time.Millisecond

// fakeStore is away while it says so, and counts its calls.
type fakeStore struct {
	mu     sync.Mutex
	away   bool
	calls  int
	waited time.Duration // by the last watch
}

func (s *fakeStore) answer(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	away := s.away
	s.mu.Unlock()
	if !away {
		return nil
	}
	select {
	case <-time.After(silence):
	case <-ctx.Done():
	}
	return hookhall.ErrUnavailable
}

func (s *fakeStore) set(away bool) (calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	calls, s.calls = s.calls, 0
	return calls
}

func (s *fakeStore) Get(ctx context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	return hookhall.Item{Key: key}, 1, s.answer(ctx)
}
func (s *fakeStore) Range(ctx context.Context, _ string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 1, s.answer(ctx)
}
func (s *fakeStore) RangeStale(ctx context.Context, _ string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 1, s.answer(ctx)
}
func (s *fakeStore) Watch(ctx context.Context, _ string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	s.waited = wait
	return nil, since, s.answer(ctx)
}
func (s *fakeStore) Put(ctx context.Context, _ string, _ []byte, _ hookhall.Lease) error {
	return s.answer(ctx)
}
func (s *fakeStore) Swap(ctx context.Context, _ string, _ []byte, was hookhall.Revision) (hookhall.Revision, error) {
	return was + 1, s.answer(ctx)
}
func (s *fakeStore) Grant(ctx context.Context, _ time.Duration) (hookhall.Lease, error) {
	return hookhall.Lease{Number: 1}, s.answer(ctx)
}
func (s *fakeStore) Renew(ctx context.Context, _ hookhall.Lease) error  { return s.answer(ctx) }
func (s *fakeStore) Revoke(ctx context.Context, _ hookhall.Lease) error { return s.answer(ctx) }

// bench is a gate with three users that call it again 50 ms after each outcome.
type bench struct {
	store  *fakeStore
	gate   *Gate
	mu     sync.Mutex
	served int
	failed int
}

// run plays a test in virtual time.
func run(t *testing.T, pace Pace, test func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{store: &fakeStore{}}
		b.gate = NewGate(b.store)
		b.gate.Pace = func() Pace { return pace }
		ctx, cancel := context.WithCancel(t.Context())
		var users sync.WaitGroup
		for range 3 {
			users.Go(func() { b.use(ctx) })
		}
		test(t, b)
		cancel()
		users.Wait()
	})
}

func (b *bench) use(ctx context.Context) {
	for ctx.Err() == nil {
		_, _, err := b.gate.Range(ctx, "k/")
		b.mu.Lock()
		if err == nil {
			b.served++
		} else {
			b.failed++
		}
		b.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// rests waits for the beginning of a pause that has grown long.
func (b *bench) rests() {
	b.after(5 * time.Minute)
	for b.store.set(true); b.store.set(true) == 0; b.after(time.Second) {
	}
	b.after(2 * silence)
	b.store.set(true)
}

// after waits and gives what came of the users' calls meanwhile.
func (b *bench) after(d time.Duration) (served, failed int) {
	time.Sleep(d)
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	served, failed = b.served, b.failed
	b.served, b.failed = 0, 0
	return served, failed
}

func TestGate(t *testing.T) {
	t.Run("calls pass while the store answers", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Second}, func(t *testing.T, b *bench) {
			if served, failed := b.after(time.Second); served < 57 || failed > 0 {
				t.Errorf("%d calls were served, %d failed", served, failed)
			}
		})
	})
	t.Run("one call at a time is made for all while it is away", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Second}, func(t *testing.T, b *bench) {
			b.after(time.Second)
			b.store.set(true)
			_, failed := b.after(20 * time.Second)
			calls := b.store.set(true)
			if calls > 18 {
				t.Errorf("%d calls were made in 20 s; one in %v was enough", calls, silence+time.Second)
			}
			if failed < 3*calls-9 {
				t.Errorf("%d failures were told to 3 users, with %d calls", failed, calls)
			}
		})
	})
	t.Run("the store's return is noticed after one pause", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Second}, func(t *testing.T, b *bench) {
			b.store.set(true)
			b.after(20 * time.Second)
			b.store.set(false)
			b.after(silence + 1300*time.Millisecond)
			if served, failed := b.after(time.Second); served < 57 || failed > 0 {
				t.Errorf("%d calls were served, %d failed", served, failed)
			}
		})
	})
	t.Run("it is noticed sooner when calls are made again", func(t *testing.T) {
		pace := Pace{PauseMost: 150 * time.Millisecond, Again: 250 * time.Millisecond}
		run(t, pace, func(t *testing.T, b *bench) {
			b.store.set(true)
			b.after(20 * time.Second)
			for range 20 {
				b.store.set(false)
				if served, _ := b.after(450 * time.Millisecond); served == 0 {
					t.Error("nothing was served within 450 ms")
				}
				b.store.set(true)
				b.after(7110 * time.Millisecond) // at another point of a call each time
			}
		})
	})
	t.Run("who hears that the store answers asks at once, but only once", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Minute}, func(t *testing.T, b *bench) {
			b.store.set(true)
			b.rests()
			b.gate.Heard(time.Now())
			b.after(2 * time.Second)
			if calls := b.store.set(true); calls != 1 {
				t.Errorf("%d calls followed", calls)
			}
			b.gate.Heard(time.Now())
			b.after(2 * time.Second)
			if calls := b.store.set(true); calls != 0 {
				t.Errorf("%d calls followed the second word", calls)
			}
		})
	})
	t.Run("news from before the outage ends no pause", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Minute}, func(t *testing.T, b *bench) {
			old := time.Now().Add(-time.Millisecond)
			b.store.set(true)
			b.rests()
			b.gate.Heard(old)
			b.after(2 * time.Second)
			if calls := b.store.set(true); calls != 0 {
				t.Errorf("%d calls followed", calls)
			}
		})
	})
	t.Run("the last word of a process that stops is not held back", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Minute}, func(t *testing.T, b *bench) {
			b.store.set(true)
			b.after(time.Minute)
			b.store.set(false)
			began := time.Now()
			if err := b.gate.Revoke(t.Context(), hookhall.Lease{Number: 1}); err != nil || time.Since(began) > 0 {
				t.Errorf("%v after %v", err, time.Since(began))
			}
		})
	})
	t.Run("a caller that leaves is let go", func(t *testing.T) {
		run(t, Pace{PauseMost: time.Minute}, func(t *testing.T, b *bench) {
			b.store.set(true)
			b.after(time.Minute)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			if err := b.gate.Renew(ctx, hookhall.Lease{Number: 1}); !errors.Is(err, hookhall.ErrUnavailable) || time.Since(began) > time.Second {
				t.Errorf("%v after %v", err, time.Since(began))
			}
		})
	})
}

func TestWatchOnBehalfOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		g := NewGate(s)
		watch := func(want time.Duration) {
			t.Helper()
			if _, _, err := g.Watch(t.Context(), "k/", 1, 8*time.Second); err != nil || s.waited != want {
				t.Errorf("the watch waited %v, %v; want %v", s.waited, err, want)
			}
		}
		watch(probeWait) // it is not known yet whether the store answers
		watch(8 * time.Second)
		s.set(true)
		if err := g.Renew(t.Context(), hookhall.Lease{Number: 1}); !errors.Is(err, hookhall.ErrUnavailable) {
			t.Fatal(err)
		}
		s.set(false)
		watch(probeWait)
		watch(8 * time.Second)
	})
}
