// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package follow keeps up with one key of the key-value service.
//
// # Model
//
// The key is read once and then waited on, with one waiting call at a time.
// After a failure there is a pause that grows and has chance in it, so that a
// fleet does not come back to the service all at once.
//
// # Invariants
//
//   - The index that is waited on only grows: a stale read is dropped, and not
//     asked again without a pause.
//   - An entry whose use failed is read again.
package follow

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
)

// watchTime is how long one call waits before it is made again.
const watchTime = 30 * time.Second

// Key calls use with each new entry of a key until ctx ends, and failed with
// each error of the service or of use.
func Key(ctx context.Context, kv hookhall.KeyValue, key string, use func(hookhall.Entry) error, failed func(error)) {
	var index uint64
	pause := retry.New()
	read := kv.Get // first: a key that does not exist has no change to wait for
	for ctx.Err() == nil {
		e, err := read(ctx, key)
		if err == nil && e.Index >= index {
			err = use(e)
		}
		switch {
		case err != nil:
			if ctx.Err() == nil {
				failed(err)
			}
			pause.Wait(ctx)
			continue
		case e.Index < index:
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		index = e.Index
		read = func(ctx context.Context, key string) (hookhall.Entry, error) {
			return kv.Watch(ctx, key, index, watchTime)
		}
	}
}
