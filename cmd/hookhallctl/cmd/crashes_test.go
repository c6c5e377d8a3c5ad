// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestLiftedContentIsEscaped guards against a call to another path than the one of a content.
func TestLiftedContentIsEscaped(t *testing.T) {
	var path string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { path = r.URL.EscapedPath() }))
	defer server.Close()
	command := &crashesCommand{Lift: "a/../b?c"}
	command.Args.Gateway = strings.TrimPrefix(server.URL, "http://")
	if err := command.Execute(nil); err != nil {
		t.Fatal(err)
	}
	if want := "/crashes/a%2F..%2Fb%3Fc"; path != want {
		t.Errorf("called %s, want %s", path, want)
	}
}
