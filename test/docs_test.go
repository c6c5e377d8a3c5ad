// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/hookhall/hookhall/internal/load"
	. "github.com/smartystreets/goconvey/convey"
)

// TestDocumentedCalls runs the commands of docs/API.md. Each names in its first
// line what its output must have.
func TestDocumentedCalls(t *testing.T) {
	Convey("The commands of docs/API.md do what the page says", t, func() {
		page, err := os.ReadFile("../docs/API.md")
		So(err, ShouldBeNil)
		c := newCluster(t, options{})
		ran := 0
		for _, part := range strings.Split(string(page), "```sh\n")[1:] {
			script, _, _ := strings.Cut(part, "```")
			first, _, _ := strings.Cut(script, "\n")
			want := strings.TrimPrefix(first, "# expect: ")
			cmd := exec.Command("bash", "-c", script)
			cmd.Env = append(os.Environ(), "ENTRY="+c.entries[ran%3].callers, "KEY="+load.Account{Name: "partners"}.Key())
			out, err := cmd.CombinedOutput()
			So(err, ShouldBeNil)
			So(string(out), ShouldContainSubstring, want)
			ran++
		}
		So(ran, ShouldEqual, 5)
	})
}
