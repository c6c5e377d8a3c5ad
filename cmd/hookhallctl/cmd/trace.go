// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const traceDescription = `Prints the lines that gateways logged for one request, sorted by time, from any
number of log files; without files, or with -, it reads standard input. Each line
begins with the file's name without .log.

Examples:
  hookhallctl trace 9c41d07be2a35f68 gateway-*.log
  zcat old.log.gz | hookhallctl trace 9c41d07be2a35f68 -`

type traceCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// logLine is one log line that names the request. Time is empty if the line has
// none, From the name of the log.
type logLine struct {
	Time string `json:"time"`
	From string `json:"from"`
	Line string `json:"line"`
}

// maxLineBytes bounds a log line; a longer one ends the command with an error.
const maxLineBytes = 1 << 20

// timeField matches the time of a log line.
var timeField = regexp.MustCompile(`\btime=(\S+)`)

// timeLayouts are those in which a log line may have its time. The fraction of a second is
// optional in both.
var timeLayouts = []string{time.RFC3339, "2006-01-02T15:04:05"}

// compareTimes compares two lines by time. Lines without a valid time come first.
func compareTimes(a, b logLine) int { return parseTime(a.Time).Compare(parseTime(b.Time)) }

// parseTime returns the time of a log line, the zero time if it is not valid. A time without a
// zone counts as UTC.
func parseTime(s string) time.Time {
	for _, layout := range timeLayouts {
		if t, err := time.Parse(layout, s); err == nil {
			return t
		}
	}
	return time.Time{}
}

// Execute implements flags.Commander. It prints the log lines that name the request,
// and returns an error if there are none.
func (c *traceCommand) Execute([]string) error {
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var matches []logLine
	for _, path := range files {
		lines, err := matchingLinesInFile(path, c.Args.Request)
		if err != nil {
			return err
		}
		matches = append(matches, lines...)
	}
	if len(matches) == 0 {
		return errors.Errorf("no log line names the request %s; check the ID and the log files", c.Args.Request)
	}
	slices.SortStableFunc(matches, compareTimes)
	if options.JSON {
		return printJSON(matches)
	}
	for _, l := range matches {
		fmt.Fprintf(stdout, "%s: %s\n", l.From, l.Line)
	}
	return nil
}

// matchingLinesInFile reads the log file path, or standard input if it is "-".
func matchingLinesInFile(path, request string) ([]logLine, error) {
	if path == "-" {
		return matchingLines(stdin, "-", request)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer f.Close()
	return matchingLines(f, strings.TrimSuffix(filepath.Base(path), ".log"), request)
}

// matchingLines returns the lines of r that name the request as request=ID, or as
// first=ID, which is the first request of a call that serves several. from is the
// name of the log in results and errors.
func matchingLines(r io.Reader, from, request string) ([]logLine, error) {
	namesRequest := regexp.MustCompile(`\b(request|first)="?` + regexp.QuoteMeta(request) + `"?(\s|$)`)
	var matches []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !namesRequest.MatchString(scanner.Text()) {
			continue
		}
		match := logLine{From: from, Line: scanner.Text()}
		if m := timeField.FindStringSubmatch(match.Line); m != nil {
			match.Time = m[1]
		}
		matches = append(matches, match)
	}
	return matches, errors.Wrap(scanner.Err(), from)
}
