// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"regexp"
	"strings"
	"testing"
)

// exampleLine is a well-formed line, with a subtest.
const exampleLine = "./a TestOne/sub_case | a cause | make test, seed 1: 3 of 4 | #7\n"

// TestParse guards against malformed lists that are accepted: a line that is ignored would
// hide its failure or skip tests that are not listed.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want int // number of tests; -1 for a malformed list
	}{
		"nothing":              {"", 0},
		"comments only":        {"# a comment\n\n", 0},
		"one":                  {exampleLine, 1},
		"three":                {exampleLine + exampleLine + exampleLine, 3},
		"four":                 {exampleLine + exampleLine + exampleLine + exampleLine, -1},
		"a part is missing":    {"./a TestOne | cause | #7\n", -1},
		"a part is empty":      {"./a TestOne | | seen | #7\n", -1},
		"no package":           {"TestOne | cause | seen | #7\n", -1},
		"no test":              {"./a Something | cause | seen | #7\n", -1},
		"a pattern for a name": {"./a .* | cause | seen | #7\n", -1},
	} {
		t.Run(name, func(t *testing.T) {
			tests, err := parse(c.text)
			if (err != nil) != (c.want < 0) || (err == nil && len(tests) != c.want) {
				t.Errorf("%d tests, %v", len(tests), err)
			}
		})
	}
}

// TestSkipPattern guards against a listed name that skips tests other than its own, such as
// those that contain the name or match it as a pattern.
func TestSkipPattern(t *testing.T) {
	for name, c := range map[string]struct {
		list          string
		skips, passes string // the name of a test that is skipped, and of one that is not
	}{
		"an empty list": {"", "", "TestOne"},
		"a whole name":  {"./a TestOne | c | s | #7", "TestOne", "TestOneMore"},
		"a prefix":      {"./a TestOne | c | s | #7", "TestOne", "AnotherTestOne"},
		"odd letters":   {"./a TestOne.x | c | s | #7", "TestOne.x", "TestOnexx"},
	} {
		t.Run(name, func(t *testing.T) {
			tests, err := parse(c.list)
			if err != nil {
				t.Fatal(err)
			}
			r := regexp.MustCompile(skipPattern(tests))
			if !r.MatchString(c.skips) || r.MatchString(c.passes) {
				t.Errorf("%s: skips %q %v, %q %v", r, c.skips, r.MatchString(c.skips), c.passes, r.MatchString(c.passes))
			}
		})
	}
}

// TestCheck guards against lines that are accepted although their test passes, does not
// exist, exists twice or does not build.
func TestCheck(t *testing.T) {
	const ran = "=== RUN   TestOne\n=== RUN   TestOne/sub_case\n"
	for name, c := range map[string]struct {
		names  string
		output string
		passed bool
		wrong  string // part of the output; "" if the line is right
	}{
		"it fails":          {"TestOne\n", ran + "--- FAIL", false, ""},
		"it passes":         {"TestOne\n", ran + "--- PASS", true, "take the line off"},
		"no such test":      {"ok a\n", "", true, "0 tests have this name"},
		"two of that name":  {"TestOne\nok a\nTestOne\n", ran, false, "2 tests have this name"},
		"no such subtest":   {"TestOne\n", "=== RUN   TestOne\n", true, "no such test ran"},
		"it does not build": {"TestOne\n", "build failed", false, "no such test ran"},
	} {
		t.Run(name, func(t *testing.T) {
			tests, err := parse(exampleLine)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			err = check(tests, func(args ...string) (string, bool) {
				if args[0] == "-list" {
					return c.names, true
				}
				return c.output, c.passed
			}, &out)
			if (err != nil) != (c.wrong != "") || !strings.Contains(out.String(), c.wrong) || !strings.Contains(out.String(), "TestOne/sub_case") {
				t.Errorf("%v: %s", err, out.String())
			}
		})
	}
}
