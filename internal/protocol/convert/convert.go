// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package convert converts the root package's peer messages to protobuf messages and
// back, with one function per message and direction. Points in time are sent as the
// time left, in milliseconds, since the clocks of two machines differ.
package convert

import (
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/peerpb"
)

// Record converts r to protobuf, with its expiry as the time left at now.
func Record(r hookhall.Record, now time.Time) *pb.Record {
	return &pb.Record{
		Key: r.Key, Digest: r.Digest, Origin: r.Origin, Token: r.Token, Sequence: r.Sequence,
		State: int32(r.State), Answer: r.Answer, RemainingMs: r.Expires.Sub(now).Milliseconds(),
	}
}

// FromRecord is the inverse of Record for a message received at now. It returns the
// zero Record for nil.
func FromRecord(r *pb.Record, now time.Time) hookhall.Record {
	if r == nil {
		return hookhall.Record{}
	}
	return hookhall.Record{
		Key: r.Key, Digest: r.Digest, Origin: r.Origin, Token: r.Token, Sequence: r.Sequence,
		State: hookhall.RecordState(r.State), Answer: r.Answer,
		Expires: now.Add(time.Duration(r.RemainingMs) * time.Millisecond),
	}
}

// ClaimReply converts r to protobuf, with the expiry of its record as the time left at now.
func ClaimReply(r hookhall.ClaimReply, now time.Time) *pb.ClaimReply {
	return &pb.ClaimReply{
		Outcome: int32(r.Outcome), Epoch: r.Epoch, Record: Record(r.Record, now),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

// FromClaimReply is the inverse of ClaimReply for a message received at now.
func FromClaimReply(r *pb.ClaimReply, now time.Time) hookhall.ClaimReply {
	return hookhall.ClaimReply{
		Outcome: hookhall.ClaimOutcome(r.Outcome), Epoch: r.Epoch, Record: FromRecord(r.Record, now),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// FetchReply converts r to protobuf, with the expiries of its records as the time left at
// now.
func FetchReply(r hookhall.FetchReply, now time.Time) *pb.FetchReply {
	out := &pb.FetchReply{Epoch: r.Epoch}
	for _, s := range r.Slots {
		slot := &pb.SlotRecords{Slot: s.Slot, Through: s.CompleteThrough, Layers: s.CompleteEpochs}
		for _, n := range s.Records {
			slot.Records = append(slot.Records, Record(n, now))
		}
		out.Slots = append(out.Slots, slot)
	}
	return out
}

// FromFetchReply is the inverse of FetchReply for a message received at now.
func FromFetchReply(r *pb.FetchReply, now time.Time) hookhall.FetchReply {
	out := hookhall.FetchReply{Epoch: r.Epoch}
	for _, s := range r.Slots {
		slot := hookhall.SlotRecords{Slot: s.Slot, CompleteThrough: s.Through, CompleteEpochs: s.Layers}
		for _, n := range s.Records {
			slot.Records = append(slot.Records, FromRecord(n, now))
		}
		out.Slots = append(out.Slots, slot)
	}
	return out
}

// TakeRequest converts t to protobuf.
func TakeRequest(t hookhall.ShareRequest) *pb.TakeRequest {
	out := &pb.TakeRequest{From: t.From, Epoch: t.Epoch}
	for _, w := range t.Demands {
		out.Wants = append(out.Wants, &pb.Want{Account: w.Account, RateUnits: w.Rate, Held: w.Held, Concurrency: w.Concurrency})
	}
	return out
}

// FromTakeRequest is the inverse of TakeRequest.
func FromTakeRequest(t *pb.TakeRequest) hookhall.ShareRequest {
	out := hookhall.ShareRequest{From: t.From, Epoch: t.Epoch}
	for _, w := range t.Wants {
		out.Demands = append(out.Demands, hookhall.ShareDemand{Account: w.Account, Rate: w.RateUnits, Held: w.Held, Concurrency: w.Concurrency})
	}
	return out
}

// TakeReply converts t to protobuf.
func TakeReply(t hookhall.ShareReply) *pb.TakeReply {
	out := &pb.TakeReply{Epoch: t.Epoch}
	for _, l := range t.Leases {
		out.Leases = append(out.Leases, &pb.Lease{
			Account: l.Account, RateUnits: l.Rate, Concurrency: l.Concurrency,
			RetryAfterMs: l.RetryAfter.Milliseconds(), Limited: l.Limited,
		})
	}
	return out
}

// FromTakeReply is the inverse of TakeReply.
func FromTakeReply(t *pb.TakeReply) hookhall.ShareReply {
	out := hookhall.ShareReply{Epoch: t.Epoch}
	for _, l := range t.Leases {
		out.Leases = append(out.Leases, hookhall.ShareLease{
			Account: l.Account, Rate: l.RateUnits, Concurrency: l.Concurrency,
			RetryAfter: time.Duration(l.RetryAfterMs) * time.Millisecond, Limited: l.Limited,
		})
	}
	return out
}
