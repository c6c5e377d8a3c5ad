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
	"sort"
	"strings"

	"github.com/pkg/errors"
)

const longTrace = `Prints what gateways logged of one request, in the order of time, over any
number of log files; without files, or with -, it reads standard input. The word
in front is the file's name.

Examples:
  hookhallctl trace 9c41d07be2a35f68 gateway-*.log
  zcat old.log.gz | hookhallctl trace 9c41d07be2a35f68 -`

type traceCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"true"`
		Files   []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// traced is one line of a request's story.
type traced struct {
	Time string `json:"time"`
	From string `json:"from"`
	Line string `json:"line"`
}

// mostLine bounds a log line in bytes.
const mostLine = 1 << 20

var timeField = regexp.MustCompile(`\btime=(\S+)`)

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var story []traced
	for _, f := range files {
		lines, err := traceFile(f, c.Args.Request)
		if err != nil {
			return err
		}
		story = append(story, lines...)
	}
	if len(story) == 0 {
		return errors.Errorf("no line names the request %s", c.Args.Request)
	}
	sort.SliceStable(story, func(i, j int) bool { return story[i].Time < story[j].Time })
	if options.JSON {
		return printJSON(story)
	}
	for _, l := range story {
		fmt.Fprintf(stdout, "%s: %s\n", l.From, l.Line)
	}
	return nil
}

func traceFile(name, request string) ([]traced, error) {
	if name == "-" {
		return traceLines(stdin, "-", request)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	defer f.Close()
	return traceLines(f, strings.TrimSuffix(filepath.Base(name), ".log"), request)
}

// traceLines finds the lines that name a request, as request=ID, or as the first
// one of a call that serves many, first=ID.
func traceLines(r io.Reader, from, request string) ([]traced, error) {
	named := regexp.MustCompile(`\b(request|first)="?` + regexp.QuoteMeta(request) + `"?(\s|$)`)
	var list []traced
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		if !named.MatchString(lines.Text()) {
			continue
		}
		l := traced{From: from, Line: lines.Text()}
		if m := timeField.FindStringSubmatch(l.Line); m != nil {
			l.Time = m[1]
		}
		list = append(list, l)
	}
	return list, errors.Wrap(lines.Err(), from)
}
