// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import "testing"

// TestCommandIsRequired guards against a script whose command is empty and that goes on, since the
// program printed nothing and exited with 0.
func TestCommandIsRequired(t *testing.T) {
	defer func(old globalOptions) { options = old }(options)
	for _, arguments := range [][]string{{}, {"--json"}, {"hashkey"}} {
		parser, err := newParser()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parser.ParseArgs(arguments); err == nil {
			t.Errorf("no error for the arguments %q", arguments)
		}
	}
}
