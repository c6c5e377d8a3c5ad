// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// oneEngine is a placement.Directory with one engine, and a placement.Fleet of this process only.
type oneEngine struct{}

func (oneEngine) Table() *routetable.Table { return nil }

func (oneEngine) Departing(string, time.Time) []hookhall.Target { return nil }
func (oneEngine) Targets(string) []hookhall.Target              { return []hookhall.Target{{ID: "e", Pool: "s"}} }

func (oneEngine) Self() hookhall.Member { return hookhall.Member{Address: "self"} }

func (f oneEngine) Owner(string, map[string]bool, time.Time) hookhall.Member { return f.Self() }

func (oneEngine) Suspect(string, time.Time) {}

// TestReadTimeIsReported guards against paces that are learned from times in which the engine did
// more than read the prompt: it also wrote a whole answer, or the events that a client has.
func TestReadTimeIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(r *request, a *attempt) *hookhall.Error
		want   bool
	}{
		"a stream": {func(r *request, a *attempt) *hookhall.Error { return (&stream{r: r}).forward(t.Context(), a) }, true},
		"a resumed stream": {func(r *request, a *attempt) *hookhall.Error {
			return (&stream{r: r, lastEventID: "7"}).forward(t.Context(), a)
		}, false},
		"a plain answer": {func(r *request, a *attempt) *hookhall.Error { return r.checkAnswer(a, nil) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := placement.NewOwner(oneEngine{}, balance.ColdLimits{})
				client, criteria := &placement.Client{Local: owner, Fleet: oneEngine{}}, balance.Criteria{IsEngineCall: true, OwnTokens: 8000}
				r := &request{route: &hookhall.Route{}, answer: pacedClient{}, criteria: criteria}
				a := &attempt{
					placed: client.Place(t.Context(), "s", criteria, nil), began: clock.Now(),
					activeCall: balance.NewTracker().Begin(hookhall.Target{ID: "e"}, criteria, clock.Now()),
					reply:      &hookhall.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 8\ndata: a\n\n"))},
				}
				a.reply.Info.Sealed = true
				time.Sleep(180 * time.Millisecond)
				if failure := c.answer(r, a); failure != nil {
					t.Fatal(failure)
				}
				pace, got := owner.EnginePace(hookhall.Incarnation{ID: "e"})
				if got != c.want {
					t.Errorf("learned a pace: %v, %+v; want %v", got, pace, c.want)
				}
			})
		})
	}
}
