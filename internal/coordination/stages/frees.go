// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"sync"
	"time"
)

// freeInterval is how long results are collected before one call frees them. The memory of a
// pool is scarce: 10 ms is a fortieth of a call.
const freeInterval = 10 * time.Millisecond

// freeKind identifies the results that one call frees.
type freeKind struct {
	service             string
	ifMemoryConstrained bool // only while other work waits for their memory
}

// pendingFrees holds the results that the next calls free. The zero value has none. It is
// safe for concurrent use.
type pendingFrees struct {
	mu     sync.Mutex
	byKind map[freeKind][]string
}

// add adds results. If there were none of their kind, it calls send after freeInterval; send
// must call take.
func (p *pendingFrees) add(kind freeKind, handles []string, send func()) {
	if len(handles) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKind == nil {
		p.byKind = map[freeKind][]string{}
	}
	pending := p.byKind[kind]
	if len(pending) == 0 {
		time.AfterFunc(freeInterval, send)
	}
	p.byKind[kind] = append(pending, handles...)
}

// take removes the results of a kind and returns them.
func (p *pendingFrees) take(kind freeKind) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	handles := p.byKind[kind]
	delete(p.byKind, kind)
	return handles
}

// free frees results through the broker, which also accounts for their memory, or directly
// at the targets if the broker does not answer. It returns at once.
func (r *Runner) free(service string, handles []string) {
	r.held.remove(service, handles)
	kind := freeKind{service: service}
	r.frees.add(kind, handles, func() { r.sendFrees(kind) })
}

// freeIfMemoryConstrained asks the broker to free results if work waits for their memory. It
// returns at once.
func (r *Runner) freeIfMemoryConstrained(service string, handles []string) {
	kind := freeKind{service: service, ifMemoryConstrained: true}
	r.frees.add(kind, handles, func() { r.sendFrees(kind) })
}

// sendFrees frees the pending results of a kind.
func (r *Runner) sendFrees(kind freeKind) {
	handles := r.frees.take(kind)
	address, isLocal := r.brokerOf(kind.service, nil)
	switch {
	case isLocal && kind.ifMemoryConstrained:
		r.Local.FreeIfMemoryConstrained(kind.service, handles)
		return
	case isLocal:
		r.Local.Free(kind.service, handles)
		return
	}
	r.count(freeCallEvent, 1)
	r.count(freedResultsEvent, len(handles))
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	err := r.Remote(address).Free(ctx, kind.service, handles, kind.ifMemoryConstrained)
	switch {
	case err == nil:
	case kind.ifMemoryConstrained:
		r.Log.Debug("broker could not free results; they are kept for now", "service", kind.service, "broker", address, "error", err.Error())
	default:
		r.Local.Free(kind.service, handles)
	}
}
