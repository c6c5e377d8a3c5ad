// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// TestInvalidLoadIsLoggedOnce guards against a log line per answer of a target whose load reports
// can't be used.
func TestInvalidLoadIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	tracker := balance.NewTracker()
	for _, id := range []string{"a", "a", "b", "a", "b"} {
		r := &request{Forwarder: &Forwarder{Log: log.New(&out)}, target: hookhall.Target{ID: id}}
		a := &attempt{activeCall: tracker.Begin(r.target, balance.Criteria{}, clock.Now()), reply: &hookhall.Reply{Info: hookhall.ReplyInfo{InvalidLoad: "1,x"}}}
		r.recordLoad(a)
		a.reply.Info.Misdirected = true
		r.recordLoad(a)
	}
	if got := strings.Count(out.String(), "\n"); got != 2 {
		t.Errorf("%d lines for two targets:\n%s", got, out.String())
	}
}

// TestRecordedLoad guards against load reports that do not reach the tracker, and against those
// that are counted for a target although another one answered.
func TestRecordedLoad(t *testing.T) {
	for name, c := range map[string]struct {
		isMisdirected bool
		want          string
	}{"the target answered": {false, "b"}, "another target answered": {true, "a"}} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			list, tracker, now := []hookhall.Target{{ID: "a", Pool: "s"}, {ID: "b", Pool: "s"}}, balance.NewTracker(), clock.Now()
			for i, target := range list {
				r := &request{Forwarder: &Forwarder{Log: log.New(&out)}, target: target}
				a := &attempt{activeCall: tracker.Begin(target, balance.Criteria{}, now), reply: &hookhall.Reply{}}
				a.reply.Info.Misdirected = c.isMisdirected
				if i == 0 {
					a.reply.Info.Load = hookhall.LoadReport{Running: 1, Capacity: 1, Slowdown: 2}
				} else {
					a.reply.Info.InvalidLoad = "1,x"
				}
				r.recordLoad(a)
				a.activeCall.Succeeded(time.Duration(100+20*i)*time.Millisecond, now)
				a.activeCall.End()
			}
			if got, _ := tracker.Choose(list, balance.Criteria{}, now); got.ID != c.want {
				t.Errorf("%s was chosen, want %s", got.ID, c.want)
			}
			if isLogged := out.Len() > 0; isLogged == c.isMisdirected {
				t.Errorf("the invalid report was logged: %v", isLogged)
			}
		})
	}
}
