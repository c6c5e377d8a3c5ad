// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hookhall/hookhall"
)

// unboundedService has no bound on bodies of its own.
type unboundedService struct{ serviceFunc }

func (unboundedService) MaxBody() int { return 0 }

// TestBodyWithoutRoom: a body that the budget has no room for is refused as not run, its
// service never sees it, and its room is free again afterwards.
func TestBodyWithoutRoom(t *testing.T) {
	served := 0
	h := newTestHandler(unboundedService{func(_ context.Context, _ *hookhall.Call, a hookhall.AnswerWriter) error {
		served++
		a.Begin(http.StatusOK, nil)
		return nil
	}})
	for _, c := range []struct {
		name   string
		bytes  int
		status int
	}{
		{"a large one", 3 << 20, http.StatusServiceUnavailable},
		{"a small one after it", 100, http.StatusOK},
		{"one that fits", 1 << 19, http.StatusOK},
		{"the same again", 1 << 19, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := served
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, c.bytes))))
			if w.Code != c.status {
				t.Errorf("status %d, not %d", w.Code, c.status)
			}
			refused := c.status != http.StatusOK
			if (w.Header().Get("Retry-After") != "") != refused || (served == before) != refused {
				t.Errorf("Retry-After %q, served %d times", w.Header().Get("Retry-After"), served-before)
			}
			if held := h.bodies.Held(); held != 0 {
				t.Errorf("%d bytes are held by nobody", held)
			}
		})
	}
}
