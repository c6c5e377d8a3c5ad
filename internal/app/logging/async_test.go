// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestStalledReader guards against a process that blocks on its own log because nobody
// reads the pipe. The lines beyond the queue must be counted, and their number must be
// logged once the pipe is read again.
func TestStalledReader(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	a := NewAsyncWriter(w)
	line := []byte(strings.Repeat("x", 99) + "\n")
	start := time.Now()
	for range 5 * maxQueuedLines {
		if _, err := a.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Fatalf("writing lines that nobody reads took %v", took)
	}
	if a.Dropped() == 0 {
		t.Fatal("no line was dropped, although the pipe holds 64 KB and the queue 200 KB")
	}
	reported := make(chan bool)
	go func() {
		var all bytes.Buffer
		chunk := make([]byte, 1<<16)
		for {
			n, err := r.Read(chunk)
			all.Write(chunk[:n])
			if strings.Contains(all.String(), "log lines dropped") || err != nil {
				reported <- err == nil
				return
			}
		}
	}()
	select {
	case ok := <-reported:
		if !ok {
			t.Fatal("the pipe ended before the number of dropped lines was logged")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the number of dropped lines was not logged")
	}
}

// TestFlush guards against lines that are lost at the end of a process: after Flush, all
// lines that were written before are in the underlying writer.
func TestFlush(t *testing.T) {
	var b bytes.Buffer
	a := NewAsyncWriter(&b)
	_, _ = a.Write([]byte("one\n"))
	_, _ = a.Write([]byte("two\n"))
	a.Flush(5 * time.Second)
	if b.String() != "one\ntwo\n" {
		t.Fatalf("written after Flush: %q", b.String())
	}
}

// chunkRecorder records the sizes of writes, and whether each ended with a line.
type chunkRecorder struct {
	mu     sync.Mutex
	sizes  []int
	broken int
}

func (c *chunkRecorder) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sizes = append(c.sizes, len(b))
	if !bytes.HasSuffix(b, []byte("\n")) {
		c.broken++
	}
	return len(b), nil
}

// TestWritesAreAtomic guards against lines that a collector sees in two parts: a pipe takes
// only writes of up to 4 KB as a whole.
func TestWritesAreAtomic(t *testing.T) {
	c := &chunkRecorder{}
	a := NewAsyncWriter(c)
	line := []byte(strings.Repeat("x", 249) + "\n")
	for range 1000 {
		_, _ = a.Write(line)
	}
	a.Flush(5 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, size := range c.sizes {
		total += size
		if size > 4096 {
			t.Errorf("a write of %d bytes", size)
		}
	}
	if total != 1000*len(line) || c.broken > 0 {
		t.Errorf("%d bytes written, %d writes ended inside a line", total, c.broken)
	}
}
