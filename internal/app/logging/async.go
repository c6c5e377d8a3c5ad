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
	// maxQueuedLines bounds how many lines wait for a slow underlying writer; further
	// ones are dropped.
	maxQueuedLines = 2048
	// Lines are combined into writes of at most maxWriteBytes, or of one longer line, after flushInterval at the
	// latest. A pipe takes that much (PIPE_BUF) as a whole, so that a collector that reads
	// in the middle of a write never gets a part of a line.
	maxWriteBytes = 4 << 10
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter is an io.Writer that never blocks its caller: a goroutine writes the lines
// to the underlying writer from a bounded queue. While the queue is full, lines are
// dropped and counted, and the next write to the underlying writer reports their number.
// It is safe for concurrent use, and the goroutine runs until the process ends.
type AsyncWriter struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	flushRequests chan chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to the writer to.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: to, lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of line, or drops it if the queue is full. It never returns an
// error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Flush waits until all lines that were queued before the call are written, but no
// longer than timeout.
func (a *AsyncWriter) Flush(timeout time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a.flushRequests <- done:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// run writes the queued lines; it never returns.
func (a *AsyncWriter) run() {
	var buffer []byte
	reported := int64(0)
	timer := time.NewTimer(flushInterval)
	timer.Stop()
	write := func() {
		if len(buffer) > 0 {
			_, _ = a.out.Write(buffer) // the log is the only place to report an error
			buffer = buffer[:0]
		}
		if dropped := a.dropped.Load(); dropped > reported {
			_, _ = a.out.Write([]byte("level=warn prefix=log msg=\"log lines dropped\" count=" + strconv.FormatInt(dropped-reported, 10) + "\n"))
			reported = dropped
		}
	}
	add := func(line []byte) {
		if len(buffer)+len(line) > maxWriteBytes {
			write()
		}
		buffer = append(buffer, line...)
	}
	for {
		select {
		case line := <-a.lines:
			if len(buffer) == 0 {
				timer.Reset(flushInterval)
			}
			add(line)
		case <-timer.C:
			write()
		case done := <-a.flushRequests:
			for len(a.lines) > 0 {
				add(<-a.lines)
			}
			write()
			close(done)
		}
	}
}
