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

// TestStalledReader: a pipe that nobody reads holds no writer up; lines beyond
// the queue are counted, and told once the pipe is read again.
func TestStalledReader(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	a := NewAsync(w)
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	for range 5 * queueLines {
		if _, err := a.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("%v for lines that nobody reads", took)
	}
	if a.Dropped() == 0 {
		t.Fatal("nothing was dropped: the pipe holds 64 KB, the queue 200")
	}
	told := make(chan bool)
	go func() {
		var all bytes.Buffer
		b := make([]byte, 1<<16)
		for {
			n, err := r.Read(b)
			all.Write(b[:n])
			if strings.Contains(all.String(), "Lines were dropped.") || err != nil {
				told <- err == nil
				return
			}
		}
	}()
	select {
	case ok := <-told:
		if !ok {
			t.Fatal("the pipe ended without a word on the lines")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no word on the lines that were dropped")
	}
}

// TestFlush: what was written is there after a flush.
func TestFlush(t *testing.T) {
	var b bytes.Buffer
	a := NewAsync(&b)
	_, _ = a.Write([]byte("one\n"))
	_, _ = a.Write([]byte("two\n"))
	a.Flush(5 * time.Second)
	if b.String() != "one\ntwo\n" {
		t.Fatalf("%q", b.String())
	}
}
