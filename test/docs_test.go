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

// TestDocumentedCalls guards against examples in docs/API.md that no longer work. It
// runs each sh block of the page against a fleet; the block's first line is
// "# expect: " and the text that the output must contain.
func TestDocumentedCalls(t *testing.T) {
	Convey("The commands of docs/API.md do what the page says", t, func() {
		page, err := os.ReadFile("../docs/API.md")
		So(err, ShouldBeNil)
		c := newCluster(t, options{})
		blockCount := 0
		for _, block := range strings.Split(string(page), "```sh\n")[1:] {
			script, _, _ := strings.Cut(block, "```")
			firstLine, _, _ := strings.Cut(script, "\n")
			want := strings.TrimPrefix(firstLine, "# expect: ")
			cmd := exec.Command("bash", "-c", script)
			cmd.Env = append(os.Environ(), "ENTRY="+c.entries[blockCount%3].callersAddress, "KEY="+load.Account{Name: "partners"}.Key())
			out, err := cmd.CombinedOutput()
			So(err, ShouldBeNil)
			So(string(out), ShouldContainSubstring, want)
			blockCount++
		}
		So(blockCount, ShouldEqual, 5)
	})
}
