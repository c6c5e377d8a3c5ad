// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTrace guards against wrong results of trace over several logs: lines of
// two files and standard input are sorted by time, lines of a request whose ID
// only begins alike (r12) are left out, and a request that no line names is an
// error.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	logA := write("a.log", "time=2026-01-01T00:00:02 msg=answered request=r1 sends=2\ntime=2026-01-01T00:00:01 msg=answered request=r12\n")
	logB := write("b.log", "time=2026-01-01T00:00:01 msg=\"attempt failed\" request=r1\ntime=2026-01-01T00:00:03 msg=call first=r1\n")
	var out bytes.Buffer
	oldIn, oldOut := stdin, stdout
	stdin, stdout = strings.NewReader("time=2026-01-01T00:00:00 request=r1 msg=x\n"), &out
	defer func() { stdin, stdout = oldIn, oldOut }()
	command := &traceCommand{}
	command.Args.Request = "r1"
	command.Args.Files = []string{logA, logB, "-"}
	if err := command.Execute(nil); err != nil {
		t.Fatal(err)
	}
	var logNames []string
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		name, _, _ := strings.Cut(l, ":")
		logNames = append(logNames, name)
	}
	if got := strings.Join(logNames, " "); got != "- b a b" {
		t.Errorf("order of the logs: got %q, want \"- b a b\"; output:\n%s", got, out.String())
	}
	command.Args.Request = "r3"
	command.Args.Files = []string{logA}
	if err := command.Execute(nil); err == nil || !strings.Contains(err.Error(), "r3") {
		t.Errorf("request that no line names: got error %v, want one that names r3", err)
	}
}

// TestTraceSortsByTime guards against lines that are sorted as text: by the digits of a fraction, or
// by the time of another zone.
func TestTraceSortsByTime(t *testing.T) {
	inOrder := []string{"no time", "2026-01-01T00:00:00", "2026-01-01T00:00:00.1", "2026-01-01T02:00:01+02:00", "2026-01-01T00:00:01.25Z", "2026-01-01T00:00:01.5Z"}
	for i := range inOrder[1:] {
		if a, b := (logLine{Time: inOrder[i]}), (logLine{Time: inOrder[i+1]}); compareTimes(a, b) >= 0 || compareTimes(b, a) <= 0 {
			t.Errorf("%s is not before %s", a.Time, b.Time)
		}
	}
}
