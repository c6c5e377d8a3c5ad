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
	// maxListed is the maximum number of tests in the list.
	maxListed = 3
	// partsPerLine is the number of parts of a line, separated by "|".
	partsPerLine = 4
	// skipNothing is a pattern that matches the name of no test.
	skipNothing = "^$"
)

// knownFailure is a line of the list: a test that is known to fail.
type knownFailure struct {
	Package string // argument of go test
	Test    string // full name, with subtests after slashes
	Cause   string
	Seen    string // command, seed, and the observed result
	Issue   string
}

// parse returns the tests in the text of a list. It fails if a line is malformed, with its
// number in the error, or if there are more than maxListed tests.
func parse(text string) ([]knownFailure, error) {
	var tests []knownFailure
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		test, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listFile, n+1, err)
		}
		tests = append(tests, test)
	}
	if len(tests) > maxListed {
		return nil, fmt.Errorf("%s lists %d tests, more than %d: fix one before listing another", listFile, len(tests), maxListed)
	}
	return tests, nil
}

// parseLine parses a line that is neither empty nor a comment.
func parseLine(line string) (knownFailure, error) {
	parts := strings.Split(line, "|")
	if len(parts) != partsPerLine {
		return knownFailure{}, fmt.Errorf("line has %d parts instead of %d: package test | cause | what was seen | issue", len(parts), partsPerLine)
	}
	for i := range parts {
		if parts[i] = strings.TrimSpace(parts[i]); parts[i] == "" {
			return knownFailure{}, fmt.Errorf("part %d is empty", i+1)
		}
	}
	packageAndTest := strings.Fields(parts[0])
	if len(packageAndTest) != 2 || !strings.HasPrefix(packageAndTest[1], "Test") {
		return knownFailure{}, fmt.Errorf("%q is not a package and the name of a test", parts[0])
	}
	return knownFailure{packageAndTest[0], packageAndTest[1], parts[1], parts[2], parts[3]}, nil
}

// pattern returns a pattern for -run and -skip that matches this test alone.
func (f knownFailure) pattern() string {
	names := strings.Split(f.Test, "/")
	for i, n := range names {
		names[i] = "^" + regexp.QuoteMeta(n) + "$"
	}
	return strings.Join(names, "/")
}

// topLevelPattern returns the pattern of the test without its subtests, as -list does not
// list subtests.
func (f knownFailure) topLevelPattern() string {
	first, _, _ := strings.Cut(f.pattern(), "/")
	return first
}

// skipPattern returns a pattern for -skip of go test that matches all listed tests and
// nothing else.
func skipPattern(tests []knownFailure) string {
	if len(tests) == 0 {
		return skipNothing
	}
	var patterns []string
	for _, test := range tests {
		patterns = append(patterns, test.pattern())
	}
	return strings.Join(patterns, "|")
}

// testRunner runs go test with arguments. It returns the output and whether go test succeeded.
type testRunner func(args ...string) (output string, passed bool)

// check runs each listed test and writes the results to out. It fails if any line is wrong.
// The name of a listed test must be unique in the module, because the pattern for -skip does
// not contain packages.
func check(tests []knownFailure, goTest testRunner, out io.Writer) error {
	wrongLines := 0
	for _, test := range tests {
		if problem := test.check(goTest, out); problem != "" {
			wrongLines++
			fmt.Fprintf(out, "KNOWN-RED wrong: %s %s: %s\n", test.Package, test.Test, problem)
		}
	}
	if wrongLines > 0 {
		return fmt.Errorf("%d wrong lines in %s", wrongLines, listFile)
	}
	return nil
}

// check runs the listed test and returns why the line is wrong, or "" if the test exists once
// and fails.
func (f knownFailure) check(goTest testRunner, out io.Writer) string {
	names, ok := goTest("-list", f.topLevelPattern(), "./...")
	if !ok {
		return "go test -list failed: " + names
	}
	if n := countLines(names, strings.Split(f.Test, "/")[0]); n != 1 {
		return fmt.Sprintf("%d tests have this name", n)
	}
	output, passed := goTest("-count=1", "-v", "-run", f.pattern(), f.Package)
	if !strings.Contains(output, "=== RUN   "+f.Test+"\n") {
		return "no such test ran"
	}
	if passed {
		return "it passes; take the line off"
	}
	fmt.Fprintf(out, "KNOWN-RED failed as listed: %s %s: %s; %s; %s\n", f.Package, f.Test, f.Cause, f.Seen, f.Issue)
	return ""
}

// countLines returns the number of lines that equal name, without surrounding spaces.
func countLines(text, name string) int {
	count := 0
	for line := range strings.Lines(text) {
		if strings.TrimSpace(line) == name {
			count++
		}
	}
	return count
}
