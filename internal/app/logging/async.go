// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait for a slow reader.
	queueLines = 2048
	// flushBytes and flushEvery bound how long lines are gathered into one write.
	flushBytes = 16 << 10
	flushEvery = 100 * time.Millisecond
)

// Async is a writer that never blocks its caller: lines wait in a bounded queue
// for the writer behind it, and are dropped, and counted, when it is full.
type Async struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

// NewAsync starts a writer before to.
func NewAsync(to io.Writer) *Async {
	a := &Async{to: to, lines: make(chan []byte, queueLines), flush: make(chan chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of one line.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Flush waits until what was queued is written, or d has passed.
func (a *Async) Flush(d time.Duration) {
	done := make(chan struct{})
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case a.flush <- done:
	case <-t.C:
		return
	}
	select {
	case <-done:
	case <-t.C:
	}
}

func (a *Async) run() {
	var buffer []byte
	told := int64(0)
	timer := time.NewTimer(flushEvery)
	timer.Stop()
	write := func() {
		if n := a.dropped.Load(); n > told {
			buffer = append(buffer, "level=warn prefix=log msg=\"Lines were dropped.\" count="+strconv.FormatInt(n-told, 10)+"\n"...)
			told = n
		}
		_, _ = a.to.Write(buffer) // there is nowhere left to tell
		buffer = buffer[:0]
	}
	for {
		select {
		case line := <-a.lines:
			if len(buffer) == 0 {
				timer.Reset(flushEvery)
			}
			if buffer = append(buffer, line...); len(buffer) >= flushBytes {
				write()
			}
		case <-timer.C:
			if len(buffer) > 0 {
				write()
			}
		case done := <-a.flush:
			for len(a.lines) > 0 {
				buffer = append(buffer, <-a.lines...)
			}
			write()
			close(done)
		}
	}
}
