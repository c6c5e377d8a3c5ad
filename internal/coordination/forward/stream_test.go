// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// recordingClient records what it was sent, with the parts of the body.
type recordingClient struct {
	chunks []string
	seal   string // of the head, "" if there was none
}

func (c *recordingClient) Begin(_ int, h http.Header) { c.seal = h.Get("Seal") }

func (c *recordingClient) Chunk(b []byte) error {
	c.chunks = append(c.chunks, string(b))
	return nil
}

// TestStreamEnd checks when a stream that its target has ended in order counts as complete, that the
// client gets complete events only, and where a broken stream would be resumed.
func TestStreamEnd(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		body    string
		framing hookhall.Framing
		passed  string
		whole   bool
		lastID  string
	}{
		"whole, with its connection":     {event + event, hookhall.FramedByConnection, event + event, true, "1"},
		"a piece of an event":            {event + "id: 2\nda", hookhall.FramedByConnection, event, false, "1"},
		"a piece of an event, chunks":    {event + "id: 2\nda", hookhall.FramedByChunks, event, false, "1"},
		"a piece of an event, length":    {event + "id: 2\nda", hookhall.FramedByLength, event, false, "1"},
		"no event, with its connection":  {"", hookhall.FramedByConnection, "", false, "0"},
		"no event, chunks":               {"", hookhall.FramedByChunks, "", true, "0"},
		"a comment, with its connection": {": c\n\n", hookhall.FramedByConnection, ": c\n\n", false, "0"},
		"a comment after the last event": {event + ": c\n", hookhall.FramedByConnection, event + ": c\n", true, "1"},
		"a piece of a comment":           {event + ": c", hookhall.FramedByConnection, event, false, "1"},
		"blank lines after the last":     {event + "\n\r\n", hookhall.FramedByConnection, event + "\n\r\n", true, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, tracker, target := &recordingClient{}, balance.NewTracker(), hookhall.Target{ID: "t"}
				a := &attempt{
					activeCall: tracker.Begin(target, balance.Criteria{}, clock.Now()), began: clock.Now(),
					reply: &hookhall.Reply{Framing: c.framing, Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(c.body)))},
				}
				s := &stream{r: &request{Forwarder: withBuffers(64 << 20), route: &hookhall.Route{}, answer: client}, head: a.reply, lastEventID: "0"}
				failure := s.passEvents(t.Context(), a)
				if (failure == nil) != c.whole {
					t.Errorf("ended with %v", failure)
				}
				if got := strings.Join(client.chunks, ""); got != c.passed {
					t.Errorf("passed on %q, want %q", got, c.passed)
				}
				if s.lastEventID != c.lastID {
					t.Errorf("would resume after %q, want %q", s.lastEventID, c.lastID)
				}
				if failed := tracker.Status(target.Incarnation(), clock.Now()).FailRate > 0; failed == c.whole {
					t.Errorf("counted as the target's failure: %v", failed)
				}
			})
		})
	}
}

// withBuffers returns a Forwarder with memory for answers, in bytes.
func withBuffers(limit int64) *Forwarder { return &Forwarder{Buffers: buffer.NewBudget(limit)} }

// TestManyLongEvents guards against events that take more memory together than there is for answers.
func TestManyLongEvents(t *testing.T) {
	const limit = 2 << 20
	f := withBuffers(limit)
	long := strings.NewReader(strings.Repeat("x", maxEventBytes-2) + "\n\n")
	forward := func(body io.Reader) *hookhall.Error {
		a := &attempt{activeCall: balance.NewTracker().Begin(hookhall.Target{}, balance.Criteria{}, clock.Now())}
		a.reply = &hookhall.Reply{Framing: hookhall.FramedByChunks, Body: io.NopCloser(body)}
		return (&stream{r: &request{Forwarder: f, route: &hookhall.Route{}, answer: &recordingClient{}}, head: a.reply}).passEvents(t.Context(), a)
	}
	if !f.Buffers.Reserve(limit * 3 / 4) {
		t.Fatal("no room in an empty budget")
	}
	if failure := forward(long); failure == nil || failure.Verdict != hookhall.MayHaveRun {
		t.Errorf("a long event was held beyond the limit: %v", failure)
	}
	if failure := forward(strings.NewReader("id: 1\ndata: a\n\n")); failure != nil {
		t.Errorf("a short event: %v", failure)
	}
	f.Buffers.Return(limit * 3 / 4)
	if held := f.Buffers.Held(); held != 0 {
		t.Errorf("%d bytes are still held", held)
	}
	if failure := forward(strings.NewReader(strings.Repeat("x", maxEventBytes-2) + "\n\n")); failure != nil {
		t.Errorf("a long event alone: %v", failure)
	}
}

// TestEndlessEvent guards against a target that takes the memory of the process by an event without an
// end.
func TestEndlessEvent(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int
		whole bool
	}{
		"a long event":     {maxEventBytes - 2, true},
		"an endless event": {16 * maxEventBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.NewReader(strings.Repeat("x", c.bytes) + "\n\n")
			a := &attempt{activeCall: balance.NewTracker().Begin(hookhall.Target{}, balance.Criteria{}, clock.Now())}
			a.reply = &hookhall.Reply{Framing: hookhall.FramedByChunks, Body: io.NopCloser(body)}
			failure := (&stream{r: &request{Forwarder: withBuffers(64 << 20), route: &hookhall.Route{}, answer: &recordingClient{}}, head: a.reply}).passEvents(t.Context(), a)
			if (failure == nil) != c.whole {
				t.Errorf("ended with %v", failure)
			}
			if read := c.bytes + 2 - body.Len(); read > 4*maxEventBytes {
				t.Errorf("%d bytes were read", read)
			}
		})
	}
}

// TestEventsArePassedOnAtOnce guards against events that wait for the next one.
func TestEventsArePassedOnAtOnce(t *testing.T) {
	for name, event := range map[string]string{"LF": "id: 1\ndata: a\n\n", "CR LF": "id: 1\r\ndata: a\r\n\r\n", "CR": "id: 1\rdata: a\r\r"} {
		t.Run(name, func(t *testing.T) {
			client := &recordingClient{}
			a := &attempt{reply: &hookhall.Reply{Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(event + event + event)))}}
			s := &stream{r: &request{Forwarder: withBuffers(64 << 20), route: &hookhall.Route{}, answer: client}, head: a.reply}
			if failure := s.passEvents(t.Context(), a); failure != nil {
				t.Fatal(failure)
			}
			if len(client.chunks) != 3 {
				t.Errorf("passed on as %q", client.chunks)
			}
		})
	}
}

// pieceReader reads pieces of a fixed size.
type pieceReader struct {
	io.Reader
	size int
}

// Read implements io.Reader.
func (r pieceReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(len(b), r.size)]) }

// FuzzEvents checks that a stream which is read in pieces of any size is passed on without loss or
// duplication, that what is passed on ends at the end of an event, and that a stream counts as
// complete only if nothing of it is left out.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 7)
	f.Add("\r\n\r\n\n\n", 1)
	f.Fuzz(func(t *testing.T, body string, size int) {
		if size < 1 || size > 64 {
			size = 3
		}
		client := &recordingClient{}
		a := &attempt{activeCall: balance.NewTracker().Begin(hookhall.Target{}, balance.Criteria{}, clock.Now())}
		a.reply = &hookhall.Reply{Framing: hookhall.FramedByConnection, Body: io.NopCloser(pieceReader{strings.NewReader(body), size})}
		s := &stream{r: &request{Forwarder: withBuffers(64 << 20), route: &hookhall.Route{}, answer: client}, head: a.reply}
		failure := s.passEvents(t.Context(), a)
		passed := strings.Join(client.chunks, "")
		switch {
		case !strings.HasPrefix(body, passed):
			t.Fatalf("%q was passed on as %q", body, passed)
		case failure == nil && passed != body:
			t.Fatalf("%q counts as complete, and %q was passed on", body, passed)
		case passed != "" && !strings.ContainsAny(passed[len(passed)-1:], "\r\n"):
			t.Fatalf("%q was passed on, which does not end at the end of an event", passed)
		}
	})
}

// TestHeadWaitsForEvents guards against clients that get a closed connection, without any answer, for a
// stream that broke off before its first event, and against the head of a target that sent none.
func TestHeadWaitsForEvents(t *testing.T) {
	const event = "id: 1\n\n"
	for name, c := range map[string]struct {
		bodies []string // of the targets, in turn; all but the last break off
		seal   string
		begun  bool
	}{
		"the first has an event":             {[]string{event + "id", event}, "0", true},
		"the first has none":                 {[]string{"", event}, "1", true},
		"the first has a piece of one":       {[]string{"id: 1", event}, "1", true},
		"none has an event":                  {[]string{"", "id"}, "", false},
		"a whole stream without events":      {[]string{": c\n\n"}, "0", true},
		"a whole stream that holds no bytes": {[]string{"whole"}, "0", true},
	} {
		t.Run(name, func(t *testing.T) {
			client := &recordingClient{}
			r := newFailingRequest(nil)
			r.answer, r.route = client, &hookhall.Route{}
			s := &stream{r: r}
			var failure *hookhall.Error
			for i, body := range c.bodies {
				framing := hookhall.FramedByChunks
				switch body {
				case "":
					framing = hookhall.FramedByConnection
				case "whole":
					body = ""
				}
				a := &attempt{activeCall: r.Tracker.Begin(hookhall.Target{}, balance.Criteria{}, clock.Now())}
				a.reply = &hookhall.Reply{Status: 200, Header: http.Header{"Seal": {strconv.Itoa(i)}}, Framing: framing, Body: io.NopCloser(strings.NewReader(body))}
				a.reply.Info.Sealed = true
				failure = s.forward(t.Context(), a)
			}
			if client.seal != c.seal {
				t.Errorf("the head of target %q, want %q", client.seal, c.seal)
			}
			if failure == nil {
				return
			}
			if err := s.finalError(t.Context(), failure); errors.Is(err, hookhall.ErrTruncated) != c.begun {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// TestEventsDontGoBack guards against events that a client gets twice because the target of a resumed stream
// does not go on behind the event that was named.
func TestEventsDontGoBack(t *testing.T) {
	for name, c := range map[string]struct {
		last, first string
		resumable   bool
		passed      bool
	}{
		"the next one":                 {"9", "10", true, true},
		"one that came before":         {"10", "9", true, false},
		"the same":                     {"9", "9", true, false},
		"the same, not a number":       {"b", "b", true, false},
		"another one, not a number":    {"b", "a", true, true},
		"a new stream":                 {"", "1", true, true},
		"a route without resumption":   {"10", "1", false, true},
		"a number behind another text": {"b", "1", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			client, tracker, target := &recordingClient{}, balance.NewTracker(), hookhall.Target{ID: "t"}
			body := ": comment\n\nid: " + c.first + "\ndata: a\n\n"
			a := &attempt{
				activeCall: tracker.Begin(target, balance.Criteria{}, clock.Now()), began: clock.Now(),
				reply: &hookhall.Reply{Framing: hookhall.FramedByChunks, Body: io.NopCloser(strings.NewReader(body))},
			}
			r := &request{Forwarder: withBuffers(64 << 20), route: &hookhall.Route{Resumable: c.resumable}, answer: client, call: &hookhall.Call{}}
			failure := (&stream{r: r, head: a.reply, lastEventID: c.last}).passEvents(t.Context(), a)
			if (failure == nil) != c.passed || strings.Contains(strings.Join(client.chunks, ""), "data") != c.passed {
				t.Errorf("ended with %v, passed on %q", failure, client.chunks)
			}
			if failure != nil && (failure.Verdict != hookhall.MayHaveRun || failure.Cause != hookhall.CauseTruncated) {
				t.Errorf("%+v", failure)
			}
		})
	}
}
