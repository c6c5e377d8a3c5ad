// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollouts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hookhall/hookhall"
)

// suspicions is a Fleet of which another process owns everything. It counts the suspicions.
type suspicions struct{ count int }

func (s *suspicions) Self() hookhall.Member { return hookhall.Member{Address: "self"} }

func (s *suspicions) Owner(string, map[string]bool, time.Time) hookhall.Member {
	return hookhall.Member{Address: "owner"}
}

func (s *suspicions) Suspect(string, time.Time) { s.count++ }

// failingRemote is a Remote whose calls fail.
type failingRemote struct{ error }

func (f failingRemote) Tally(context.Context, Report) ([]Progress, error) { return nil, f.error }

// TestSuspectedOwner guards against an owner that loses all of its roles since a report failed for another
// reason than its silence.
func TestSuspectedOwner(t *testing.T) {
	silence := fmt.Errorf("timeout: %w", ErrNoAnswer)
	for name, c := range map[string]struct {
		err     error
		isEnded bool // the process that sends the report
		want    int
	}{
		"the owner is silent":          {silence, false, 1},
		"the owner refuses the report": {errors.New("the message is too large"), false, 0},
		"this process is stopping":     {silence, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := &suspicions{}
			r := &Rollouts{Fleet: s, Remote: func(string) Remote { return failingRemote{c.err} }, Log: log.New(io.Discard)}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.isEnded {
				cancel()
			}
			r.sendReport(ctx, "owner", Report{})
			if s.count != c.want {
				t.Errorf("suspected %d times, want %d", s.count, c.want)
			}
		})
	}
}
