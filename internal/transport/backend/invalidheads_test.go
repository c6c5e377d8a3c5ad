// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package backend_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/transport/backend"
)

// startRewriting starts a target whose answers are rewritten before they are sent, and returns it.
func startRewriting(t *testing.T, rewrite func(answer string) string) hookhall.Target {
	t.Helper()
	handler := standin.NewTarget(standin.TargetSettings{ID: "e", Capacity: 2})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := httptest.NewRecorder()
		handler.ServeHTTP(whole, r)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, rewrite(encodeHead(whole, fmt.Sprint("Content-Length: ", whole.Body.Len()))+whole.Body.String()))
	}))
	t.Cleanup(s.Close)
	return hookhall.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://"), Streams: true}
}

// TestInvalidHeads guards against answers that are not valid being taken for results, or for the proof that a call
// did not run: the target may run it.
func TestInvalidHeads(t *testing.T) {
	replace := func(from, to string) func(string) string {
		return func(answer string) string { return strings.Replace(answer, from, to, 1) }
	}
	for name, rewrite := range map[string]func(string) string{
		"blank in a name":        replace("\r\n", "\r\nX Bad: 1\r\n"),
		"blank behind a name":    replace("\r\n", "\r\nX-Bad : 1\r\n"),
		"control byte in a name": replace("\r\n", "\r\nX\x01Bad: 1\r\n"),
		"blank behind a length":  replace("Content-Length:", "Content-Length :"),
		"status 000":             replace("200 x", "000 x"),
		"not run, by status 000": replace("200 x\r\n", "000 x\r\n"+wire.HeaderNotRun+": true\r\n"),
		"not run, by status 999": replace("200 x\r\n", "999 x\r\n"+wire.HeaderNotRun+": true\r\n"),
		"not run, blank in name": replace("200 x\r\n", "503 x\r\nX Bad: 1\r\n"+wire.HeaderNotRun+": true\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := backend.New(buffer.NewBudget(1<<20)).Call(t.Context(), startRewriting(t, rewrite), call("some tag"), func([]byte) error { return nil })
			if err == nil || hookhall.AsError(err).Verdict != hookhall.MayHaveRun {
				t.Errorf("error %v", err)
			}
		})
	}
	t.Run("valid", func(t *testing.T) {
		unchanged := func(answer string) string { return answer }
		if _, err := backend.New(buffer.NewBudget(1<<20)).Call(t.Context(), startRewriting(t, unchanged), call("some tag"), func([]byte) error { return nil }); err != nil {
			t.Error(err)
		}
	})
}
