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

// TestTrace follows one request over two files and standard input.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", "time=2026-01-01T00:00:02 msg=Answered. request=r1 sends=2\ntime=2026-01-01T00:00:01 msg=Answered. request=r12\n")
	b := write("b.log", "time=2026-01-01T00:00:01 msg=\"A send failed.\" request=r1\ntime=2026-01-01T00:00:03 msg=call first=r1\n")
	var out bytes.Buffer
	oldIn, oldOut := stdin, stdout
	stdin, stdout = strings.NewReader("time=2026-01-01T00:00:00 request=r1 msg=x\n"), &out
	defer func() { stdin, stdout = oldIn, oldOut }()
	c := &traceCommand{}
	c.Args.Request = "r1"
	c.Args.Files = []string{a, b, "-"}
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
	var from []string
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		name, _, _ := strings.Cut(l, ":")
		from = append(from, name)
	}
	if got := strings.Join(from, " "); got != "- b a b" {
		t.Errorf("%s\n%s", got, out.String())
	}
	c.Args.Request = "r3"
	c.Args.Files = []string{a}
	if err := c.Execute(nil); err == nil || !strings.Contains(err.Error(), "r3") {
		t.Errorf("a request that nobody knows: %v", err)
	}
}
