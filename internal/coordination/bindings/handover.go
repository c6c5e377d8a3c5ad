// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// HandOver copies the bindings of this process, which stops, to the gateways that hold them after it,
// and returns when they have them or ctx ends.
func (b *Bindings) HandOver(ctx context.Context) {
	now := clock.Now()
	byAddress := map[string][]binding.Binding{}
	all, unrecorded := b.Table.All(now), b.Recorder.unrecorded()
	for _, bound := range all {
		bound.IsUnrecorded = unrecorded[bound.Key]
		peers := b.peers(bound.Key, b.Fleet.List(now))
		for _, peer := range peers[:min(len(peers), Copies)] {
			byAddress[peer.Address] = append(byAddress[peer.Address], bound)
		}
	}
	var wg sync.WaitGroup
	var failed atomic.Int64
	for address, list := range byAddress {
		wg.Go(func() {
			for len(list) > 0 && ctx.Err() == nil {
				n := min(len(list), maxPerCall)
				if !b.send(address, list[:n]) {
					failed.Add(int64(n))
				}
				list = list[n:]
			}
		})
	}
	wg.Wait()
	if len(all) > 0 {
		b.Log.Info("versions of streams handed over", "streams", len(all), "gateways", len(byAddress), "copies_failed", failed.Load())
	}
}
