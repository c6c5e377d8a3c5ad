// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Probe is a heartbeat from one entry to another.
type Probe struct {
	From         string
	Epoch        uint64
	TableVersion uint64
	// View is the encoded view; set when the receiver is known to be behind.
	View []byte
	// Leaving are targets that the sender itself has seen to be leaving.
	Leaving []string
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	ID           string
	Epoch        uint64
	TableVersion uint64
	// View is set when the receiver is ahead of the sender.
	View []byte
	// Leaving are targets that the receiver itself has seen to be leaving.
	Leaving []string
}

// RecordState is the state of a claim.
type RecordState int

// States of a claim record. Only Released and Void records may be replaced.
const (
	// StatePending: the owner has it, the standby's word is awaited.
	StatePending RecordState = iota
	// StateGranted: an origin holds the right to run the request.
	StateGranted
	// StateFinished: it ran; Answer holds the encoded answer.
	StateFinished
	// StateUnknown: its origin says that it may have run and ended badly.
	StateUnknown
	// StateReleased: its origin gave the right back unused.
	StateReleased
)

// Record is one claim: who may run the request with this key.
type Record struct {
	// Key is the account and the caller's key.
	Key    string
	Digest uint64
	// Origin is the member ID that the claim was granted to.
	Origin string
	// Token tells this grant from earlier ones of the same key.
	Token uint64
	// Sequence orders the owners' writes of this record, over all epochs, so that
	// a late copy never replaces a newer one.
	Sequence uint64
	State    RecordState
	// Answer is the encoded answer, when small enough to be kept.
	Answer []byte
	// Expires is local; it travels as time left.
	Expires time.Time
}

// ClaimOutcome is the owner's answer to a ClaimRequest.
type ClaimOutcome int

// Outcomes of asking for a claim.
const (
	// ClaimRefused: no claim was given; ask again later.
	ClaimRefused ClaimOutcome = iota
	// ClaimGranted: the origin may run the request now.
	ClaimGranted
	// ClaimHeld: somebody holds it; Record tells whom, or how it ended.
	ClaimHeld
	// ClaimBehind: the epochs differ.
	ClaimBehind
	// ClaimLost: records of earlier epochs may be lost: wait for retention.
	ClaimLost
)

// ClaimRequest asks the owner of Key for the right to run it.
type ClaimRequest struct {
	Epoch  uint64
	Key    string
	Digest uint64
	Origin string
	Token  uint64
}

// ClaimReply is the owner's answer.
type ClaimReply struct {
	Outcome    ClaimOutcome
	Epoch      uint64
	Record     Record
	RetryAfter time.Duration
}

// CopyReply says whether a record was stored, and the receiver's epoch.
type CopyReply struct {
	Stored bool
	Epoch  uint64
}

// Settlement ends a claim.
type Settlement struct {
	Epoch  uint64
	Key    string
	Token  uint64
	State  RecordState
	Answer []byte
}

// FetchRequest asks for all records of slots, from a member that is at Epoch.
type FetchRequest struct {
	Epoch uint64
	Slots []uint32
	// View lets the receiver move on to Epoch first.
	View []byte
}

// SlotRecords is what a member holds of one slot.
type SlotRecords struct {
	Slot uint32
	// Through: every grant of epochs up to it is among Records.
	Through uint64
	// Layers are single later epochs of which the same holds.
	Layers  []uint64
	Records []Record
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Epoch uint64
	Slots []SlotRecords
}

// Want is one entry's wish for units of an account's limits.
type Want struct {
	Account string
	// Rate is the number of requests wanted from the rate limit.
	Rate int64
	// Held is the concurrency units leased now, Concurrency those wanted.
	Held        int64
	Concurrency int64
}

// ShareLease is what the account's owner granted.
type ShareLease struct {
	Account     string
	Rate        int64
	Concurrency int64
	RetryAfter  time.Duration
	// Limited is false when the owner knows no limit of the account.
	Limited bool
}

// TakeRequest asks an owner for shares of several accounts.
type TakeRequest struct {
	From  string
	Epoch uint64
	Wants []Want
}

// TakeReply answers in the order of the wants.
type TakeReply struct {
	Epoch  uint64
	Leases []ShareLease
}

// TableDocument is a table as stored: the root and its chunks.
type TableDocument struct {
	Version uint64
	Root    []byte
	Chunks  [][]byte
}
