// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/app/settings"
)

// TestServersFailDuringStart guards against an entry that waits for the key-value service, as long as
// it takes, though its servers have failed.
func TestServersFailDuringStart(t *testing.T) {
	config := settings.DefaultEntry()
	config.Entry.Instance, config.Entry.Hall = "entry-1", "hall-1"
	config.Entry.Callers, config.Entry.Peers = "127.0.0.1:0", "127.0.0.1:0"
	config.Platform.KeyValue, config.Platform.Instances = "127.0.0.1:1", "127.0.0.1:1" // nobody listens there
	e, err := New(config, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	_ = e.callersListener.Close()
	ended := make(chan error, 1)
	go func() { ended <- e.Run(t.Context(), context.Background()) }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("no error")
		}
	case <-time.After(20 * time.Second):
		t.Error("the entry still starts")
	}
}
