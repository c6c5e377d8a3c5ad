// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"testing"
)

// TestCompleteEventsLen guards against events that are passed on incomplete, or with a wrong last
// id, from which a broken stream would resume at the wrong event.
func TestCompleteEventsLen(t *testing.T) {
	for _, c := range []struct {
		in   string
		want int
		id   string
	}{
		{"", 0, ""},
		{"id: 1\ndata: x", 0, ""},
		{"id: 1\ndata: x\n", 0, ""},
		{"id: 1\ndata: x\n\n", 15, "1"},
		{"id: 1\ndata: x\n\nid: 2\nda", 15, "1"},
		{"id: 1\r\ndata: x\r\n\r\nid: 2\r\n", 18, "1"},
		{"data: x\n\n", 9, ""},
		{"id:7\ndata: id: 8\n\n", 18, "7"},
		{": comment\n\nid: 3\n\n", 18, "3"},
	} {
		n := completeEventsLen([]byte(c.in))
		if n != c.want {
			t.Errorf("%q: %d bytes of complete events, want %d", c.in, n, c.want)
			continue
		}
		if id := lastEventID([]byte(c.in)[:n]); id != c.id {
			t.Errorf("%q: last id %q, want %q", c.in, id, c.id)
		}
	}
}

// FuzzEvents checks that a stream which is read in pieces of any size is passed on without loss or
// duplication, and that what is passed on ends at the end of an event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 7)
	f.Add([]byte("\r\n\r\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, step int) {
		if step < 1 || step > 64 {
			step = 3
		}
		var buffer, passed []byte
		for at := 0; at < len(stream); at += step {
			buffer = append(buffer, stream[at:min(at+step, len(stream))]...)
			n := completeEventsLen(buffer)
			lastEventID(buffer[:n])
			passed = append(passed, buffer[:n]...)
			buffer = append([]byte(nil), buffer[n:]...)
		}
		if got := append(append([]byte(nil), passed...), buffer...); !bytes.Equal(got, stream) {
			t.Fatalf("stream %q became %q", stream, got)
		}
		if len(passed) > 0 && !bytes.HasSuffix(passed, []byte("\n\n")) && !bytes.HasSuffix(passed, []byte("\r\n\r\n")) {
			t.Fatalf("%q was passed on, which does not end at the end of an event", passed)
		}
	})
}
