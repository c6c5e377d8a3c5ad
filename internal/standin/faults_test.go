// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestRemovalEndsWatch guards against a stand-in whose watches miss the removal of their key.
func TestRemovalEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKeyValue()
		put := httptest.NewRequest(http.MethodPut, "/v1/kv/a?cas=0", strings.NewReader("1"))
		k.ServeHTTP(httptest.NewRecorder(), put)
		ended := make(chan time.Duration)
		go func() {
			began := time.Now()
			k.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/kv/a?index=1&wait=10s", nil))
			ended <- time.Since(began)
		}()
		time.Sleep(time.Second)
		k.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, "/v1/kv/a", nil))
		if took := <-ended; took > 2*time.Second {
			t.Errorf("the watch ended after %v", took)
		}
	})
}

// TestMalformedFaultsAreRefused guards against a test that runs without its outage because the stand-in
// ignored a request that it could not decode.
func TestMalformedFaultsAreRefused(t *testing.T) {
	answer := httptest.NewRecorder()
	NewInstances(0).ServeHTTP(answer, httptest.NewRequest(http.MethodPut, "/standin/faults", strings.NewReader("down")))
	if answer.Code != http.StatusBadRequest {
		t.Errorf("status %d", answer.Code)
	}
}
