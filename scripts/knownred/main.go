// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
)

// listFile is relative to the root of the repository, where the command runs.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run executes the command "skip" or "check" and writes its output to out. A missing list
// counts as empty.
func run(args []string, out io.Writer) error {
	if len(args) != 1 || (args[0] != "skip" && args[0] != "check") {
		return errors.New("usage: knownred skip | check")
	}
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	tests, err := parse(string(text))
	if err != nil {
		return err
	}
	if args[0] == "skip" {
		fmt.Fprintln(out, skipPattern(tests))
		return nil
	}
	return check(tests, goTest, out)
}

// goTest implements testRunner; output combines standard output and standard error.
func goTest(args ...string) (output string, passed bool) {
	combined, err := exec.Command("go", append([]string{"test"}, args...)...).CombinedOutput()
	return string(combined), err == nil
}
