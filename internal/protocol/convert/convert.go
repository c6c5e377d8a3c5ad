// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package convert turns the root package's peer messages into their protobuf
// form and back. It has one function per message and direction, and no logic
// but this: times travel as time left, since clocks differ.
package convert

import (
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/peerpb"
)

// Record to protobuf.
func Record(r hookhall.Record, now time.Time) *pb.Record {
	return &pb.Record{
		Key: r.Key, Digest: r.Digest, Origin: r.Origin, Token: r.Token, Sequence: r.Sequence,
		State: int32(r.State), Answer: r.Answer, RemainingMs: r.Expires.Sub(now).Milliseconds(),
	}
}

// FromRecord is the inverse of Record.
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

// ClaimReply to protobuf.
func ClaimReply(r hookhall.ClaimReply, now time.Time) *pb.ClaimReply {
	return &pb.ClaimReply{
		Outcome: int32(r.Outcome), Epoch: r.Epoch, Record: Record(r.Record, now),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
	}
}

// FromClaimReply is the inverse of ClaimReply.
func FromClaimReply(r *pb.ClaimReply, now time.Time) hookhall.ClaimReply {
	return hookhall.ClaimReply{
		Outcome: hookhall.ClaimOutcome(r.Outcome), Epoch: r.Epoch, Record: FromRecord(r.Record, now),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// FetchReply to protobuf.
func FetchReply(r hookhall.FetchReply, now time.Time) *pb.FetchReply {
	out := &pb.FetchReply{Epoch: r.Epoch}
	for _, s := range r.Slots {
		x := &pb.SlotRecords{Slot: s.Slot, Through: s.Through, Layers: s.Layers}
		for _, n := range s.Records {
			x.Records = append(x.Records, Record(n, now))
		}
		out.Slots = append(out.Slots, x)
	}
	return out
}

// FromFetchReply is the inverse of FetchReply.
func FromFetchReply(r *pb.FetchReply, now time.Time) hookhall.FetchReply {
	out := hookhall.FetchReply{Epoch: r.Epoch}
	for _, s := range r.Slots {
		x := hookhall.SlotRecords{Slot: s.Slot, Through: s.Through, Layers: s.Layers}
		for _, n := range s.Records {
			x.Records = append(x.Records, FromRecord(n, now))
		}
		out.Slots = append(out.Slots, x)
	}
	return out
}

// TakeRequest to protobuf.
func TakeRequest(t hookhall.TakeRequest) *pb.TakeRequest {
	out := &pb.TakeRequest{From: t.From, Epoch: t.Epoch}
	for _, w := range t.Wants {
		out.Wants = append(out.Wants, &pb.Want{Account: w.Account, RateUnits: w.Rate, Held: w.Held, Concurrency: w.Concurrency})
	}
	return out
}

// FromTakeRequest is the inverse of TakeRequest.
func FromTakeRequest(t *pb.TakeRequest) hookhall.TakeRequest {
	out := hookhall.TakeRequest{From: t.From, Epoch: t.Epoch}
	for _, w := range t.Wants {
		out.Wants = append(out.Wants, hookhall.Want{Account: w.Account, Rate: w.RateUnits, Held: w.Held, Concurrency: w.Concurrency})
	}
	return out
}

// TakeReply to protobuf.
func TakeReply(t hookhall.TakeReply) *pb.TakeReply {
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
func FromTakeReply(t *pb.TakeReply) hookhall.TakeReply {
	out := hookhall.TakeReply{Epoch: t.Epoch}
	for _, l := range t.Leases {
		out.Leases = append(out.Leases, hookhall.ShareLease{
			Account: l.Account, Rate: l.RateUnits, Concurrency: l.Concurrency,
			RetryAfter: time.Duration(l.RetryAfterMs) * time.Millisecond, Limited: l.Limited,
		})
	}
	return out
}
