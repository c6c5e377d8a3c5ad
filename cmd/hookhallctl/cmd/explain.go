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

const longExplain = `Says, from the live state of one entry, what became of an account's requests
there, why they are refused, and which cell would change that.

Example:
  hookhallctl explain acme --entry 10.0.0.7:8080`

type explainCommand struct {
	Entry string `long:"entry" required:"true" description:"IP:port of an entry, as callers use it." value-name:"ADDRESS"`
	Args  struct {
		Account string `positional-arg-name:"ACCOUNT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var x entry.Explanation
	q := url.Values{"account": {c.Args.Account}}
	if _, err := call(http.MethodGet, c.Entry, operators.PathExplain, q, nil, &x); err != nil {
		return err
	}
	if options.JSON {
		return printJSON(x)
	}
	fmt.Fprintf(stdout, "account %s\n", x.Account)
	if x.Row != nil {
		fmt.Fprintf(stdout, "  priority %d  weight %g  deadline %v  rate %g/s  concurrency %d\n",
			x.Row.Priority, x.Row.Weight, x.Row.Deadline, x.Row.Rate, x.Row.Concurrency)
	}
	for _, k := range sortedKeys(x.Counts) {
		fmt.Fprintf(stdout, "  %s: %d\n", k, x.Counts[k])
	}
	for _, k := range sortedKeys(x.WaitMS) {
		fmt.Fprintf(stdout, "  wait at %s: %.1f ms\n", k, x.WaitMS[k])
	}
	if x.Last != nil {
		fmt.Fprintf(stdout, "  last failure: %s: %s\n", x.Last.Cause, x.Last.Detail)
	}
	for _, a := range x.Advice {
		fmt.Fprintf(stdout, "  -> %s\n", a)
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
