// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"bytes"
	"strings"
	"testing"
)

// withStreams runs f with the given standard input, and returns what it prints.
func withStreams(t *testing.T, input string, f func() error) (string, error) {
	t.Helper()
	var out bytes.Buffer
	oldIn, oldOut := stdin, stdout
	defer func() { stdin, stdout = oldIn, oldOut }()
	stdin, stdout = strings.NewReader(input), &out
	err := f()
	return out.String(), err
}

// TestHashOfEmptyKey guards against the hash of nothing as the key of an account.
func TestHashOfEmptyKey(t *testing.T) {
	for _, input := range []string{"", "\n", "  \nkey\n"} {
		if out, err := withStreams(t, input, func() error { return (&hashKeyCommand{}).Execute(nil) }); err == nil || out != "" {
			t.Errorf("input %q: printed %q, error %v", input, out, err)
		}
	}
	if out, err := withStreams(t, "key\n", func() error { return (&hashKeyCommand{}).Execute(nil) }); err != nil || len(out) != 65 {
		t.Errorf("printed %q, error %v", out, err)
	}
}
