// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/transport/operators"
)

// TestEditTimeout guards against edits that are given up, and submitted again, while the admin
// still waits for the entries.
func TestEditTimeout(t *testing.T) {
	if timeout := timeoutOf(operators.PathEdits); timeout <= settings.MaxAccept {
		t.Errorf("an edit ends after %v, and may take %v", timeout, settings.MaxAccept)
	}
	if timeout := timeoutOf(operators.PathTable); timeout > 30*time.Second {
		t.Errorf("a read ends after %v", timeout)
	}
}
