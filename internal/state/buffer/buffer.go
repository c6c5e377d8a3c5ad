// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package buffer limits the memory in which a process buffers requests and responses.
//
// # Model
//
// Responses are read ahead of their callers, so that a request whose response is cut off can
// be retried, and requests are read completely before they are sent. A Buffer grows within
// the shared Budget of all buffers, up to a maximum size of its own. What does not fit of a
// response is not read, so that its sender has to wait.
//
// A request that does not fit is given up. When several requests run out of memory at the same
// time, the largest one that is being read, or the first of equal ones, waits a moment for the
// memory of the others, which are given up at once.
//
// # Invariants
//
//   - All buffers of a budget together hold at most its limit plus minSize for each.
//   - A released buffer holds nothing.
//   - The memory of a request that is given up is free before another one is given up.
package buffer

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minSize is the number of bytes that each buffer may hold even if the budget is exhausted.
	minSize = 4 << 10
	// smallSize is the size up to which a request takes free memory although a larger one waits
	// for it, so that one large request does not keep out usual ones.
	smallSize = 64 << 10
	// maxWait bounds the time for which the largest request waits for memory. Requests that
	// arrive at the same speed as it need memory within that time, and are given up.
	maxWait = 250 * time.Millisecond
)

// ErrNoRoom is the error for a request that does not fit into the budget.
var ErrNoRoom = errors.New("no memory is left")

// Budget is the memory that the buffers of a process share. It is safe for concurrent use.
type Budget struct {
	limit int // bytes

	mu       sync.Mutex
	reserved int                // bytes
	requests map[*Buffer]uint64 // those being read, with their place in the order of arrival
	arrivals uint64             // requests so far
	waiting  *waiter            // nil if no request waits for memory
}

// waiter is a request that waits for memory.
type waiter struct {
	buffer  *Buffer
	bytes   int
	granted chan struct{} // closed once the bytes are reserved
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: int(limit), requests: map[*Buffer]uint64{}}
}

// Held returns the number of bytes that buffers have reserved beyond the minSize that each
// may hold without a reservation.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.reserved)
}

// Reserve reserves n bytes for another use than a Buffer, and reports whether there was room. Return must
// follow if it did.
func (b *Budget) Reserve(n int) bool { return b.reserveFor(&Buffer{}, n) }

// reserveFor reserves n bytes for a buffer, and reports whether there was room.
func (b *Budget) reserveFor(buffer *Buffer, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+n > b.limit {
		return false
	}
	b.reserved += n
	buffer.reserved += n
	return true
}

// Return returns n bytes of Reserve.
func (b *Budget) Return(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(n)
}

// free returns n bytes, and grants the waiting request its bytes if they are free now. b.mu must be held.
func (b *Budget) free(n int) {
	b.reserved -= n
	if w := b.waiting; w != nil && b.reserved+w.bytes <= b.limit {
		b.reserved += w.bytes
		w.buffer.reserved += w.bytes
		b.waiting = nil
		close(w.granted)
	}
}

// begin adds a request to those being read, and reports whether n more bytes for it are free.
func (b *Budget) begin(request *Buffer, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 && b.reserved+n > b.limit {
		return false
	}
	b.arrivals++
	b.requests[request] = b.arrivals
	return true
}

// end removes a request from those being read.
func (b *Budget) end(request *Buffer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.requests, request)
}

// isLargest reports whether no other request being read has more memory, or as much and came
// before. b.mu must be held.
func (b *Budget) isLargest(request *Buffer) bool {
	for other, arrival := range b.requests {
		if other.reserved > request.reserved || other.reserved == request.reserved && arrival < b.requests[request] {
			return false
		}
	}
	return true
}

// extend reserves n more bytes for a request, and reports whether it did. Otherwise the request
// has no memory any more.
func (b *Budget) extend(request *Buffer, n int) bool {
	b.mu.Lock()
	isSmall := cap(request.bytes)+n <= smallSize
	if b.reserved+n <= b.limit && (b.waiting == nil || isSmall) {
		b.reserved += n
		request.reserved += n
		b.mu.Unlock()
		return true
	}
	if b.waiting != nil || request.reserved+n > b.limit || !b.isLargest(request) {
		b.release(request)
		b.mu.Unlock()
		return false
	}
	w := &waiter{request, n, make(chan struct{})}
	b.waiting = w
	b.mu.Unlock()
	return b.await(w)
}

// await waits until a request is granted its bytes, at most maxWait, and reports whether it was.
// Otherwise the request has no memory any more.
func (b *Budget) await(w *waiter) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting != w {
		return true // granted at the same moment
	}
	b.waiting = nil
	b.release(w.buffer)
	return false
}

// release returns the bytes of a buffer. b.mu must be held.
func (b *Budget) release(buffer *Buffer) {
	reserved := buffer.reserved
	buffer.reserved, buffer.bytes = 0, nil
	delete(b.requests, buffer)
	b.free(reserved)
}

// Buffer holds the first bytes of a request or a response. It is not safe for concurrent use.
type Buffer struct {
	budget   *Budget
	maxSize  int // bytes
	reserved int // bytes of the budget; guarded by its mutex
	bytes    []byte
}

// New returns an empty Buffer that holds at most maxSize bytes. The caller must release it.
func (b *Budget) New(maxSize int) *Buffer {
	return &Buffer{budget: b, maxSize: maxSize, bytes: make([]byte, 0, min(minSize, maxSize))}
}

// Fill reads from r until its end, or until the buffer is full and may not grow; more is set
// if r may have more bytes then. Other errors of r than io.EOF are returned.
func (b *Buffer) Fill(r io.Reader) (more bool, err error) {
	for {
		more, err := b.read(r)
		if !more || err != nil || !b.grow() {
			return more, err
		}
	}
}

// FillRequest reads a request from r until its end. length is its stated length, or negative if that is
// not known. It returns ErrNoRoom if the request does not fit, and other errors of r than io.EOF;
// after ErrNoRoom the buffer holds nothing.
func (b *Buffer) FillRequest(r io.Reader, length int64) error {
	if length >= 0 && length < int64(b.maxSize) {
		b.maxSize = int(length) + 1 // one more, so that the end of r is read without growing
	}
	missing := 0
	if length >= 0 {
		missing = b.maxSize - cap(b.bytes)
	}
	if !b.budget.begin(b, missing) {
		b.Release()
		return ErrNoRoom
	}
	defer b.budget.end(b)
	for {
		more, err := b.read(r)
		if !more || err != nil {
			return err
		}
		added := b.growth()
		if added <= 0 {
			b.Release()
			return ErrNoRoom
		}
		if !b.budget.extend(b, added) {
			return ErrNoRoom
		}
		b.enlarge(added)
	}
}

// read reads from r until its end, or until the buffer is full; more is set if r may have more
// bytes then.
func (b *Buffer) read(r io.Reader) (more bool, err error) {
	for len(b.bytes) < cap(b.bytes) {
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
	return true, nil
}

// grow doubles the capacity, up to maxSize, and reports whether it did. It leaves the buffer
// unchanged if the budget is exhausted.
func (b *Buffer) grow() bool {
	added := b.growth()
	if added <= 0 || !b.budget.reserveFor(b, added) {
		return false
	}
	b.enlarge(added)
	return true
}

// growth returns how many bytes the next growth adds, 0 if the buffer may not grow.
func (b *Buffer) growth() int { return min(2*cap(b.bytes), b.maxSize) - cap(b.bytes) }

// enlarge adds bytes to the capacity.
func (b *Buffer) enlarge(added int) {
	larger := make([]byte, len(b.bytes), cap(b.bytes)+added)
	copy(larger, b.bytes)
	b.bytes = larger
}

// Bytes returns the bytes that were read. They are valid until the buffer is released.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Release returns the buffer's bytes to the budget. Further calls have no effect.
func (b *Buffer) Release() {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.budget.release(b)
}
