// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package peers

import (
	"testing"

	"github.com/hookhall/hookhall"
)

// TestInvalidAddress guards against a crash by an address in a view that is no address.
func TestInvalidAddress(t *testing.T) {
	clients := NewClients("secret")
	defer clients.Close()
	if _, err := clients.Peer("%zz\x00").Probe(t.Context(), hookhall.Probe{}); err == nil {
		t.Error("no error")
	}
}
