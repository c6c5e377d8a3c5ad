// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// pacedClient takes a fixed time to read each part of an answer.
type pacedClient struct{ pace time.Duration }

func (c pacedClient) Begin(int, http.Header) {}

func (c pacedClient) Chunk([]byte) error {
	time.Sleep(c.pace)
	return nil
}

// TestUnreadStreamIsNoTargetFailure guards against failures that are counted for a target which
// breaks off a stream because the client did not read it.
func TestUnreadStreamIsNoTargetFailure(t *testing.T) {
	for name, c := range map[string]struct {
		pace   time.Duration
		failed bool
	}{
		"the client reads at once": {0, true},
		"the client reads slowly":  {5 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := balance.NewTracker()
				target := hookhall.Target{ID: "t"}
				broken := iotest.ErrReader(errors.New("connection reset"))
				a := &attempt{
					activeCall: tracker.Begin(target, balance.Criteria{}, clock.Now()), began: clock.Now(),
					reply: &hookhall.Reply{Body: io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), broken))},
				}
				s := &stream{r: &request{route: &hookhall.Route{}, answer: pacedClient{c.pace}}, head: a.reply}
				if e := s.passEvents(t.Context(), a); e == nil || e.Cause != hookhall.CauseTruncated {
					t.Fatalf("the stream ended with %v", e)
				}
				if failed := tracker.Status(target.Incarnation(), clock.Now()).FailRate > 0; failed != c.failed {
					t.Errorf("counted as the target's failure: %v", failed)
				}
			})
		})
	}
}
