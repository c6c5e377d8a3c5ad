// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package buffer bounds the bytes that a process holds for its callers.
//
// # Model
//
// Answers are read ahead of their callers, so that one that is cut can be asked for
// again, and requests are read whole before they are sent. A Buffer grows by what a
// Budget, which all share, has left, up to a bound of its own. What does not fit stays
// with the sender, which waits.
//
// # Invariants
//
//   - All buffers of a budget hold its limit at most, and the least size of each.
//   - A released buffer holds nothing.
package buffer

import (
	"io"
	"sync/atomic"
)

// minSize is what each buffer may hold, in bytes, whatever the budget has left.
const minSize = 4 << 10

// Budget is what all buffers of a process may hold.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the bytes that buffers hold, in excess of the least size of each.
func (b *Budget) Held() int64 { return b.held.Load() }

func (b *Budget) take(n int) bool {
	if b.held.Add(int64(n)) <= b.limit {
		return true
	}
	b.held.Add(int64(-n))
	return false
}

// Buffer is the beginning of an answer or a request.
type Buffer struct {
	budget *Budget
	most   int // bytes
	taken  int
	bytes  []byte
}

// New returns an empty Buffer that holds a number of bytes at most. It must be released.
func (b *Budget) New(most int) *Buffer {
	return &Buffer{budget: b, most: most, bytes: make([]byte, 0, min(minSize, most))}
}

// Fill reads from r until its end, or until the buffer may not grow: then more is set.
func (b *Buffer) Fill(r io.Reader) (more bool, err error) {
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow() {
			return true, nil
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow doubles the buffer, as far as it may.
func (b *Buffer) grow() bool {
	size := min(2*cap(b.bytes), b.most)
	more := size - cap(b.bytes)
	if more <= 0 || !b.budget.take(more) {
		return false
	}
	b.taken += more
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	return true
}

// Bytes returns what was read. It is valid until the buffer is released.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Release gives the buffer's bytes back. Further calls have no effect.
func (b *Buffer) Release() {
	b.budget.held.Add(int64(-b.taken))
	b.taken, b.bytes = 0, nil
}
