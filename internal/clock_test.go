// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package internal

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// steadyAllowed are the places where Go's own clock is right, with the reason.
var steadyAllowed = map[string]string{
	"internal/state/clock/clock.go":     "it is what the project's clock is made of",
	"internal/transport/front/front.go": "a connection's deadline",
	"internal/app/metrics/metrics.go":   "a time of day for people",
	"internal/app/entry/entry.go":       "the start as part of a name",
}

// ownClock has the folders of load generators, experiments and stand-ins, which measure and
// decide nothing in the product.
var ownClock = []string{"internal/lab", "internal/load", "internal/standin", "cmd/hookhall-load", "cmd/hookhall-standin"}

var steady = regexp.MustCompile(`\btime\.(Now|Since|Until)\(|context\.WithDeadline\(|\.Unix(Nano|Milli)?\(\)`)

// TestOneClock: what decides something counts by the project's clock, which goes on while
// an instance is suspended, and not by the time of day, which jumps.
func TestOneClock(t *testing.T) {
	checked := 0
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join("..", dir), func(path string, d fs.DirEntry, err error) error {
			name := strings.TrimPrefix(filepath.ToSlash(path), "../")
			if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || steadyAllowed[name] != "" {
				return err
			}
			for _, own := range ownClock {
				if strings.HasPrefix(name, own) {
					return nil
				}
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			checked++
			if found := steady.Find(text); found != nil {
				t.Errorf("%s uses %s", name, found)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if checked < 100 {
		t.Fatalf("only %d files checked", checked)
	}
}
