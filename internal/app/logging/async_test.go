// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"os"
	"strings"
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
