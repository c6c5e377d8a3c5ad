// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall/internal/state/buffer"
	"pgregory.net/rapid"
)

const (
	kb = 1 << 10
	// maxTestSize is the maximum size of a request in these tests.
	maxTestSize = 1 << 20
	// unknown is the length of a request that does not state one.
	unknown = -1
)

// sender sends a request whose bytes a test releases one part after the other.
type sender struct {
	*buffer.Buffer
	write  *io.PipeWriter
	result chan error
}

// send begins a request with a stated length.
func send(b *buffer.Budget, length int64) *sender {
	read, write := io.Pipe()
	s := &sender{b.New(maxTestSize), write, make(chan error, 1)}
	go func() {
		err := s.FillRequest(read, length)
		read.CloseWithError(err)
		s.result <- err
	}()
	synctest.Wait()
	return s
}

// sendMore sends n bytes more without waiting until they are read.
func (s *sender) sendMore(n int) {
	go func() { _, _ = s.write.Write(make([]byte, n)) }() // fails if the request is given up
	synctest.Wait()
}

// checkReading checks that the request is neither complete nor given up.
func (s *sender) checkReading(t *testing.T, name string) {
	t.Helper()
	select {
	case err := <-s.result:
		t.Fatalf("%s: no longer read: %v", name, err)
	default:
	}
}

// checkRefused checks that the request has been given up.
func (s *sender) checkRefused(t *testing.T, name string) {
	t.Helper()
	select {
	case err := <-s.result:
		if !errors.Is(err, buffer.ErrNoRoom) {
			t.Fatalf("%s: error %v", name, err)
		}
	default:
		t.Fatalf("%s: still read", name)
	}
}

// checkServed checks that the request is read to its end, and frees its memory.
func (s *sender) checkServed(t *testing.T, name string) {
	t.Helper()
	_ = s.write.Close()
	if err := <-s.result; err != nil {
		t.Fatalf("%s: error %v", name, err)
	}
	s.Release()
}

// checkHeld checks how many bytes of a budget are reserved.
func checkHeld(t *testing.T, b *buffer.Budget, want int64) {
	t.Helper()
	if held := b.Held(); held != want {
		t.Fatalf("%d bytes are reserved, not %d", held, want)
	}
}

// TestLargestRequestKeepsItsPlace guards against giving up all requests that run out of memory at the
// same time, and against giving up the one that has most.
func TestLargestRequestKeepsItsPlace(t *testing.T) {
	for name, test := range map[string]struct {
		size       int   // at which the request runs out of memory
		length     int64 // stated by it
		beginsLast bool
	}{
		"first of equal ones": {128 * kb, unknown, false},
		"largest, begun last": {256 * kb, 300 * kb, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const otherSize = 128 * kb
				budget := buffer.NewBudget(int64(test.size + otherSize - 4*kb))
				var kept, other *sender
				if test.beginsLast {
					other = send(budget, unknown)
				}
				kept = send(budget, test.length)
				if !test.beginsLast {
					other = send(budget, unknown)
				}
				kept.sendMore(test.size - 1)
				other.sendMore(otherSize - 1)
				kept.sendMore(1)
				kept.checkReading(t, "kept")
				other.checkReading(t, "other")
				other.sendMore(1)
				other.checkRefused(t, "other")
				kept.sendMore(1)
				kept.checkServed(t, "kept")
				checkHeld(t, budget, 0)
			})
		})
	}
}

// TestWaitForMemoryIsBounded guards against a request that waits for memory until its client gives up,
// while others that have stalled hold the memory, and against one that keeps out usual requests meanwhile.
func TestWaitForMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := buffer.NewBudget(600 * kb) // of which 100 KB are left when large needs 256 KB
		large, first, second := send(budget, unknown), send(budget, unknown), send(budget, unknown)
		stalled := []*sender{first, second}
		for _, s := range stalled {
			s.sendMore(100 * kb)
		}
		large.sendMore(256 * kb)
		large.checkReading(t, "large")
		small := send(budget, unknown)
		small.sendMore(30 * kb) // it has 28 KB of the budget
		small.checkServed(t, "small")
		time.Sleep(time.Second)
		large.checkRefused(t, "large")
		for _, s := range stalled {
			s.checkServed(t, "stalled")
		}
		checkHeld(t, budget, 0)
	})
}

// TestMemoryOfServedRequestIsGranted guards against a request that still waits after enough memory is free.
func TestMemoryOfServedRequestIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := buffer.NewBudget(600 * kb)
		large, served := send(budget, unknown), send(budget, unknown)
		served.sendMore(200 * kb)
		large.sendMore(256 * kb)
		large.checkReading(t, "large")
		if served.write.Close(); <-served.result != nil {
			t.Fatal("the request that is complete is given up")
		}
		served.Release()
		synctest.Wait()
		large.sendMore(1)
		large.checkReading(t, "large")
		time.Sleep(time.Second)
		large.checkReading(t, "large after the time to wait")
		large.checkServed(t, "large")
		checkHeld(t, budget, 0)
	})
}

// TestStatedLength guards against reading a request that can't fit, and against giving up one that fits
// exactly.
func TestStatedLength(t *testing.T) {
	for name, test := range map[string]struct {
		length int64
		fits   bool
	}{"too long": {100*kb + 1, false}, "as long as the memory": {100 * kb, true}, "none": {0, true}} {
		t.Run(name, func(t *testing.T) {
			budget := buffer.NewBudget(96*kb + 1)
			b := budget.New(maxTestSize)
			r := bytes.NewReader(make([]byte, test.length))
			err := b.FillRequest(r, test.length)
			if test.fits && (err != nil || len(b.Bytes()) != int(test.length)) {
				t.Errorf("error %v, %d bytes", err, len(b.Bytes()))
			}
			if !test.fits && (!errors.Is(err, buffer.ErrNoRoom) || r.Len() != int(test.length)) {
				t.Errorf("error %v, %d bytes were read", err, int(test.length)-r.Len())
			}
			b.Release()
			checkHeld(t, budget, 0)
		})
	}
}

// TestRequestsOfAnySize guards against lost bytes of a request, against exceeding the limit, and against
// memory that is never free again.
func TestRequestsOfAnySize(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 64 * kb
		sizes := rapid.SliceOfN(rapid.IntRange(0, 80*kb), 1, 20).Draw(rt, "sizes")
		stated := rapid.Bool().Draw(rt, "lengths are stated")
		budget := buffer.NewBudget(limit)
		results := make(chan error, len(sizes))
		for _, size := range sizes {
			go func() {
				b := budget.New(maxTestSize)
				defer b.Release()
				length := int64(unknown)
				if stated {
					length = int64(size)
				}
				want := bytes.Repeat([]byte{'x'}, size)
				err := b.FillRequest(bytes.NewReader(want), length)
				if held := budget.Held(); held > limit {
					err = errors.New("the limit is exceeded")
				}
				if err == nil && !bytes.Equal(b.Bytes(), want) {
					err = errors.New("bytes differ")
				}
				results <- err
			}()
		}
		served, fits := 0, false
		for _, size := range sizes {
			fits = fits || size < limit/2
			switch err := <-results; {
			case err == nil:
				served++
			case !errors.Is(err, buffer.ErrNoRoom):
				rt.Fatal(err)
			}
		}
		if fits && served == 0 {
			rt.Fatal("no request was served")
		}
	})
}
