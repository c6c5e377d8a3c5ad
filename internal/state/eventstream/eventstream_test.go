// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package eventstream_test

import (
	"strings"
	"testing"

	"github.com/hookhall/hookhall/internal/state/eventstream"
)

// found is what a Parser finds in a stream.
type found struct {
	complete int // bytes
	events   int
	lastID   string
	inside   bool
}

// parse feeds a stream in pieces of step bytes.
func parse(stream string, step int) found {
	var p eventstream.Parser
	for at := 0; at < len(stream); at += step {
		p.Feed([]byte(stream[at:min(at+step, len(stream))]))
	}
	return found{p.Complete(), p.Events(), p.LastID(), p.InsideEvent()}
}

// TestParser guards against streams that are passed on incomplete, or with a wrong last id, from which a
// broken stream would resume at the wrong event.
func TestParser(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want found
	}{
		"nothing":                             {"", found{}},
		"a whole event":                       {"id: 1\ndata: x\n\n", found{15, 1, "1", false}},
		"no blank line":                       {"id: 1\ndata: x\n", found{0, 0, "", true}},
		"no line end":                         {"id: 1\ndata: x", found{0, 0, "", true}},
		"a piece of the second event":         {"id: 1\ndata: x\n\nid: 2\nda", found{15, 1, "1", true}},
		"two bytes of the second event":       {"data: x\n\nid", found{9, 1, "", true}},
		"CR LF":                               {"id: 1\r\ndata: x\r\n\r\nid: 2\r\n", found{18, 1, "1", true}},
		"CR LF, all but the last byte":        {"id: 1\r\ndata: x\r\n\r", found{0, 0, "", true}},
		"CR":                                  {"id: 1\rdata: x\r\r", found{15, 1, "1", false}},
		"CR, no blank line":                   {"id: 1\rdata: x\r", found{0, 0, "", true}},
		"CR, then CR LF":                      {"data: x\r\r\n", found{10, 1, "", false}},
		"LF, then CR LF":                      {"id: 1\n\r\n", found{8, 1, "1", false}},
		"CR LF, then LF":                      {"id: 1\r\n\n", found{8, 1, "1", false}},
		"LF, then CR before the next event":   {"id: 1\n\rid: 2\n\n", found{14, 2, "2", false}},
		"an event without an id":              {"id: 1\n\ndata: x\n\n", found{16, 2, "1", false}},
		"an id in the data":                   {"id:7\ndata: id: 8\n\n", found{18, 1, "7", false}},
		"an id without a value":               {"id: 1\n\nid\n\n", found{11, 2, "", false}},
		"a field whose name begins with id":   {"idx: 1\n\n", found{8, 1, "", false}},
		"a comment before the first event":    {": comment\n\nid: 3\n\n", found{18, 1, "3", false}},
		"a comment in an event":               {"id: 3\n: comment\n\n", found{17, 1, "3", false}},
		"a comment after the last event":      {"id: 3\n\n: comment\n", found{7, 1, "3", false}},
		"a comment with CR LF after the last": {"id: 3\r\n\r\n: c\r\n", found{9, 1, "3", false}},
		"a piece of a comment":                {"id: 3\n\n: comm", found{7, 1, "3", true}},
		"only a comment":                      {": comment\n\n", found{11, 0, "", false}},
		"blank lines after the last event":    {"id: 3\n\n\n\r\n", found{10, 1, "3", false}},
	} {
		t.Run(name, func(t *testing.T) {
			for step := 1; step <= len(c.in)+1; step++ {
				if got := parse(c.in, step); got != c.want {
					t.Errorf("%q in pieces of %d: %+v, want %+v", c.in, step, got, c.want)
				}
			}
		})
	}
}

// reference finds the events of a stream that is known as a whole, by its lines.
func reference(stream string) (events int, lastID string) {
	lines := strings.Split(strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(stream), "\n")
	hasFields, id := false, ""
	hasID := false
	for _, line := range lines[:len(lines)-1] {
		switch {
		case line == "":
			if hasFields {
				events++
			}
			if hasID {
				lastID = id
			}
			hasFields, hasID = false, false
		case line[0] != ':':
			hasFields = true
			if name, value, _ := strings.Cut(line, ":"); name == "id" {
				id, hasID = strings.TrimSpace(value), true
			}
		}
	}
	return events, lastID
}

// FuzzParser checks that what is found does not depend on how the stream is divided, that it agrees with a
// reading of the whole stream, and that complete events end with a line end.
func FuzzParser(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 7)
	f.Add("\r\n\r\n\n\n", 1)
	f.Add("id: 1\r\r\nid\n\r\n:\r\r", 2)
	f.Fuzz(func(t *testing.T, stream string, step int) {
		if step < 1 || step > 64 {
			step = 3
		}
		whole := parse(stream, len(stream)+1)
		if got := parse(stream, step); got != whole {
			t.Fatalf("%q in pieces of %d: %+v, at once %+v", stream, step, got, whole)
		}
		if whole.complete > 0 && !strings.ContainsAny(stream[whole.complete-1:whole.complete], "\r\n") {
			t.Fatalf("%q: the first %d bytes don't end a line", stream, whole.complete)
		}
		if strings.HasSuffix(stream, "\r") {
			stream += "x" // decides whether the CR ends a line
			whole = parse(stream, step)
		}
		if events, id := reference(stream); events != whole.events || id != whole.lastID {
			t.Fatalf("%q: %+v, want %d events and the last id %q", stream, whole, events, id)
		}
	})
}

// TestFirstID guards against a log that names another event than the first one of an answer.
func TestFirstID(t *testing.T) {
	var p eventstream.Parser
	p.Feed([]byte(": comment\n\ndata: no id\n\nid: 7\ndata: x\n\nid: 8\ndata: y\n\nid: 9\nda"))
	if p.FirstID() != "7" || p.LastID() != "8" {
		t.Errorf("events %q to %q, want 7 to 8", p.FirstID(), p.LastID())
	}
}
