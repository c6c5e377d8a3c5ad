// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"regexp"
	"strings"
)

const (
	// mostListed is how many tests may be listed.
	mostListed = 3
	// lineParts is how many parts a line has.
	lineParts = 4
	// skipNothing is a pattern that no test's name matches.
	skipNothing = "^$"
)

// listed is one test of the list.
type listed struct {
	Package string
	Test    string
	Cause   string
	Seen    string // command, seed, and what was seen
	Issue   string
}

// parse reads the list.
func parse(text string) ([]listed, error) {
	var tests []listed
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		l, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listFile, n+1, err)
		}
		tests = append(tests, l)
	}
	if len(tests) > mostListed {
		return nil, fmt.Errorf("%s lists %d tests; %d at most", listFile, len(tests), mostListed)
	}
	return tests, nil
}

func parseLine(line string) (listed, error) {
	parts := strings.Split(line, "|")
	if len(parts) != lineParts {
		return listed{}, fmt.Errorf("%d parts, not %d: package test | cause | what was seen | issue", len(parts), lineParts)
	}
	for i := range parts {
		if parts[i] = strings.TrimSpace(parts[i]); parts[i] == "" {
			return listed{}, fmt.Errorf("part %d is empty", i+1)
		}
	}
	name := strings.Fields(parts[0])
	if len(name) != 2 || !strings.HasPrefix(name[1], "Test") {
		return listed{}, fmt.Errorf("%q is no package with a test", parts[0])
	}
	return listed{name[0], name[1], parts[1], parts[2], parts[3]}, nil
}

// pattern matches the test's whole name alone.
func (l listed) pattern() string {
	names := strings.Split(l.Test, "/")
	for i, n := range names {
		names[i] = "^" + regexp.QuoteMeta(n) + "$"
	}
	return strings.Join(names, "/")
}

// top is the pattern of the test without its subtests.
func (l listed) top() string {
	first, _, _ := strings.Cut(l.pattern(), "/")
	return first
}

// skipPattern is what go test's -skip takes to pass over all listed tests.
func skipPattern(tests []listed) string {
	if len(tests) == 0 {
		return skipNothing
	}
	var all []string
	for _, l := range tests {
		all = append(all, l.pattern())
	}
	return strings.Join(all, "|")
}

// runner runs go test with arguments.
type runner func(args ...string) (output string, passed bool)

// check runs each listed test. The pattern of the skip knows no packages, so a name
// has to be that of one test only.
func check(tests []listed, goTest runner, out io.Writer) error {
	wrong := 0
	for _, l := range tests {
		if why := l.check(goTest, out); why != "" {
			wrong++
			fmt.Fprintf(out, "KNOWN-RED wrong: %s %s: %s\n", l.Package, l.Test, why)
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%d lines of %s are wrong", wrong, listFile)
	}
	return nil
}

// check tells why a line is wrong, "" when its test fails as it says.
func (l listed) check(goTest runner, out io.Writer) string {
	names, ok := goTest("-list", l.top(), "./...")
	if !ok {
		return "the tests can't be listed: " + names
	}
	if n := countLines(names, strings.Split(l.Test, "/")[0]); n != 1 {
		return fmt.Sprintf("%d tests have this name", n)
	}
	output, passed := goTest("-count=1", "-v", "-run", l.pattern(), l.Package)
	if !strings.Contains(output, "=== RUN   "+l.Test+"\n") {
		return "no such test ran"
	}
	if passed {
		return "it passes; take the line off"
	}
	fmt.Fprintf(out, "KNOWN-RED failed as listed: %s %s: %s; %s; %s\n", l.Package, l.Test, l.Cause, l.Seen, l.Issue)
	return ""
}

// countLines is how many lines of a text are equal to a name.
func countLines(text, name string) int {
	n := 0
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) == name {
			n++
		}
	}
	return n
}
