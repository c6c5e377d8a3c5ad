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

// reasonByAllowedFile has the reason for each file that may use the clock of package time.
var reasonByAllowedFile = map[string]string{
	"internal/state/clock/clock.go":     "implements the project's clock",
	"internal/transport/front/front.go": "deadline of a connection",
	"internal/app/metrics/metrics.go":   "time of day shown to people",
	"internal/app/entry/entry.go":       "start time as part of a name",
}

// measurementDirs has the folders of load generators, experiments and stand-ins. They may
// use package time, since they only measure and are no part of the product.
var measurementDirs = []string{"internal/lab", "internal/load", "internal/standin", "cmd/hookhall-load", "cmd/hookhall-standin"}

// systemClockUse matches calls that read the time of day or set a deadline by it.
var systemClockUse = regexp.MustCompile(`\btime\.(Now|Since|Until)\(|context\.WithDeadline\(|\.Unix(Nano|Milli)?\(\)`)

// TestOneClock guards against product code that uses the clock of package time, whose time
// of day jumps. It has to use the project's clock, which also advances while an instance is
// suspended.
func TestOneClock(t *testing.T) {
	checked := 0
	for _, dir := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join("..", dir), func(path string, d fs.DirEntry, err error) error {
			name := strings.TrimPrefix(filepath.ToSlash(path), "../")
			if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || reasonByAllowedFile[name] != "" {
				return err
			}
			for _, measurementDir := range measurementDirs {
				if strings.HasPrefix(name, measurementDir) {
					return nil
				}
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			checked++
			if found := systemClockUse.Find(text); found != nil {
				t.Errorf("%s uses %s instead of the project's clock", name, found)
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
