// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// TestSharedPartsForLog guards against log lines that don't show which part broken requests have in
// common, and against lines whose length clients decide.
func TestSharedPartsForLog(t *testing.T) {
	long := strings.Repeat("a", 1000)
	for name, c := range map[string]struct {
		ids  []string
		want string
	}{
		"no prompt":     {nil, ""},
		"own part only": {[]string{"aa"}, ""},
		"shared parts":  {[]string{"aa", "bb", "own"}, "aa,bb"},
		"many parts":    {strings.Split("1,2,3,4,5,6,7,8,9,own", ","), "1,2,3,4,5,6,7,8"},
		"a long ID":     {[]string{long, "own"}, long[:maxLoggedPartID]},
		"an empty ID":   {[]string{"", "own"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var prompt []hookhall.PromptPart
			for _, id := range c.ids {
				prompt = append(prompt, hookhall.PromptPart{ID: id})
			}
			if got := sharedPartsForLog(prompt); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// countingQuarantine counts the reports that a target runs a request without a crash.
type countingQuarantine struct {
	noQuarantine
	running, served int
}

func (q *countingQuarantine) Running(crashes.Identity) { q.running++ }

func (q *countingQuarantine) Served(crashes.Identity, hookhall.Target) { q.served++ }

// slowBody is a body that waits before each chunk.
type slowBody struct {
	pause  time.Duration
	chunks []string
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.chunks) == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := copy(p, b.chunks[0])
	b.chunks = b.chunks[1:]
	return n, nil
}

// slowClient is a client that takes a while for each chunk.
type slowClient struct {
	recordingClient
	pause time.Duration
}

func (c *slowClient) Chunk(b []byte) error {
	time.Sleep(c.pause)
	return c.recordingClient.Chunk(b)
}

// TestSoundRun guards against crashes that count against a long stream until it is complete though targets
// run it on, and against a first event, comments or a slow client that pass for such a run.
func TestSoundRun(t *testing.T) {
	const event, comment = "id: 1\ndata: a\n\n", ": c\n\n"
	events := func(n int) []string { return slices.Repeat([]string{event}, n) }
	for name, c := range map[string]struct {
		pause, clientPause time.Duration
		chunks             []string
		running, served    int
	}{
		"events for over a second":           {250 * time.Millisecond, 0, events(6), 1, 1},
		"events for over three seconds":      {250 * time.Millisecond, 0, events(14), 1, 3},
		"a late first event":                 {5 * time.Second, 0, events(1), 0, 0},
		"a late second event":                {2 * time.Second, 0, events(2), 0, 1},
		"events for less than a second":      {100 * time.Millisecond, 0, events(8), 1, 0},
		"events for a tenth of a second":     {100 * time.Millisecond, 0, events(2), 0, 0},
		"a first event and comments":         {time.Second, 0, []string{event, comment, comment, comment}, 0, 0},
		"comments only":                      {time.Second, 0, slices.Repeat([]string{comment}, 5), 0, 0},
		"a slow client of events at once":    {0, time.Second, events(8), 0, 0},
		"events at once in one long chunk":   {time.Second, 0, []string{strings.Join(events(8), "")}, 0, 0},
		"an event, then comments and events": {400 * time.Millisecond, 0, []string{event, comment, comment, event}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := &countingQuarantine{}
				f := withBuffers(64 << 20)
				f.Quarantine = q
				tracker := balance.NewTracker()
				a := &attempt{
					activeCall: tracker.Begin(hookhall.Target{}, balance.Criteria{}, clock.Now()), began: clock.Now(),
					reply: &hookhall.Reply{Framing: hookhall.FramedByChunks, Body: io.NopCloser(&slowBody{c.pause, c.chunks})},
				}
				r := &request{Forwarder: f, route: &hookhall.Route{}, call: &hookhall.Call{}, answer: &slowClient{pause: c.clientPause}}
				if failure := (&stream{r: r, head: a.reply}).passEvents(t.Context(), a); failure != nil {
					t.Fatal(failure)
				}
				if q.running != c.running || q.served != c.served {
					t.Errorf("%d reports of a run that has begun, and %d of a sound one, want %d and %d", q.running, q.served, c.running, c.served)
				}
			})
		})
	}
}
