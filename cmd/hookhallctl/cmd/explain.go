// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"fmt"
	"net/http"
	"net/url"
	"sort"

	"github.com/hookhall/hookhall/internal/app/entry"
	"github.com/hookhall/hookhall/internal/transport/operators"
)

const explainDescription = `Explains from the live state of one entry how an account's requests ended there,
why they are refused, and which cell of the table would change that.

Example:
  hookhallctl explain acme --entry 10.0.0.7:8080`

type explainCommand struct {
	Entry string `long:"entry" required:"true" description:"IP:port of an entry, as callers use it." value-name:"ADDRESS"`
	Args  struct {
		Account string `positional-arg-name:"ACCOUNT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It prints the outcomes of the account's
// requests since the entry started, and the cells of the table that influence them.
func (c *explainCommand) Execute([]string) error {
	var explanation entry.Explanation
	query := url.Values{"account": {c.Args.Account}}
	if _, err := call(http.MethodGet, c.Entry, operators.PathExplain, query, nil, &explanation); err != nil {
		return err
	}
	if options.JSON {
		return printJSON(explanation)
	}
	fmt.Fprintf(stdout, "account %s\n", explanation.Account)
	if explanation.Row != nil {
		fmt.Fprintf(stdout, "  priority %d  weight %g  deadline %v  rate %g/s  concurrency %d\n",
			explanation.Row.Priority, explanation.Row.Weight, explanation.Row.Deadline, explanation.Row.Rate, explanation.Row.Concurrency)
	}
	for _, cause := range sortedKeys(explanation.Counts) {
		fmt.Fprintf(stdout, "  %s: %d\n", cause, explanation.Counts[cause])
	}
	for _, pool := range sortedKeys(explanation.WaitMS) {
		fmt.Fprintf(stdout, "  wait at %s: %.1f ms\n", pool, explanation.WaitMS[pool])
	}
	if explanation.LastFailure != nil {
		fmt.Fprintf(stdout, "  last failure: %s: %s\n", explanation.LastFailure.Cause, explanation.LastFailure.Detail)
	}
	for _, advice := range explanation.Advice {
		fmt.Fprintf(stdout, "  -> %s\n", advice)
	}
	return nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
