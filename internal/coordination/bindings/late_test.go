// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings_test

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/bindings"
)

// TestLateWriteOfRecords guards against records that are lost because a write without an answer is done after
// the next one.
func TestLateWriteOfRecords(t *testing.T) {
	run(t, "segment", func(t *testing.T) {
		f := newFleet(1, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.store.set(func() { f.store.isLate = true })
		f.at(0).bind(t, "b", "v2")
		f.store.set(func() { f.store.isLate = false })
		f.at(0).bind(t, "c", "v2")
		time.Sleep(recordDelay)
		f.store.doLate()
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
		f.checkAll(t, "c", "v2", bindings.SourceStore)
	})
}
