// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/pipeline"
	"github.com/hookhall/hookhall/internal/state/table"
)

// callersService implements callers.Service, the interface to callers, by an entry.
type callersService struct{ e *Entry }

// Table implements callers.Service.
func (s callersService) Table() *table.Snapshot { return s.e.tables.Current().Snapshot }

// Ready implements callers.Service.
func (s callersService) Ready() bool { return s.e.ready.Load() && !s.e.draining.Load() }

// Accepting implements callers.Service.
func (s callersService) Accepting() (bool, hookhall.Cause) {
	switch {
	case s.e.refusing.Load():
		return false, hookhall.CauseStopping
	case !s.e.ready.Load():
		return false, hookhall.CauseNotReady
	}
	return true, ""
}

// Run implements callers.Service.
func (s callersService) Run(ctx context.Context, request *hookhall.Request, emit pipeline.Emit) (*hookhall.Answer, error) {
	return s.e.runner.Run(ctx, request, emit)
}

// peerHandler implements peers.Handler, the calls of other members, by an entry.
type peerHandler struct{ e *Entry }

// HandleProbe implements peers.Handler.
func (h peerHandler) HandleProbe(ctx context.Context, probe hookhall.Probe) hookhall.ProbeReply {
	return h.e.fleet.HandleProbe(ctx, probe)
}

// HandleProbeFor implements peers.Handler.
func (h peerHandler) HandleProbeFor(ctx context.Context, address string) bool {
	return h.e.fleet.HandleProbeFor(ctx, address)
}

// HandleClaim implements peers.Handler.
func (h peerHandler) HandleClaim(ctx context.Context, request hookhall.ClaimRequest) hookhall.ClaimReply {
	return h.e.claims.Handle(ctx, request)
}

// HandleCopy implements peers.Handler.
func (h peerHandler) HandleCopy(epoch uint64, record hookhall.Record) hookhall.CopyReply {
	return h.e.claims.HandleCopy(epoch, record)
}

// HandleSettle implements peers.Handler.
func (h peerHandler) HandleSettle(ctx context.Context, settlement hookhall.Settlement) hookhall.CopyReply {
	return h.e.claims.HandleSettle(ctx, settlement)
}

// HandleFetch implements peers.Handler.
func (h peerHandler) HandleFetch(request hookhall.FetchRequest) hookhall.FetchReply {
	return h.e.fleet.HandleFetch(request)
}

// HandleIsComplete implements peers.Handler.
func (h peerHandler) HandleIsComplete(epoch uint64) bool { return h.e.store.IsComplete(epoch) }

// HandleLeaseShares implements peers.Handler.
func (h peerHandler) HandleLeaseShares(request hookhall.ShareRequest) hookhall.ShareReply {
	return h.e.limits.GrantLeases(request)
}

// HandleTable implements peers.Handler.
func (h peerHandler) HandleTable(peerVersion uint64) hookhall.TableDocument {
	return h.e.tables.DocumentSince(peerVersion)
}
