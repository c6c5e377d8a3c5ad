// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Probe is a heartbeat from one entry to another.
type Probe struct {
	From         string // member ID of the sender
	Epoch        uint64 // of the sender's view
	TableVersion uint64 // of the sender's table
	// View is the encoded view. It is set when the receiver is known to have an
	// older one.
	View []byte
	// LeavingTargets lists the IDs of targets that the sender itself observed to be leaving.
	LeavingTargets []string
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	ID           string // member ID of the receiver of the Probe
	Epoch        uint64
	TableVersion uint64
	// View is the encoded view of the receiver, set when it is newer than the sender's.
	View []byte
	// LeavingTargets lists the IDs of targets that the receiver itself observed to be leaving.
	LeavingTargets []string
}

// RecordState is the state of a claim.
type RecordState int

// States of a claim record. A record may be replaced in StateReleased, and in
// StatePending once it is no longer being copied to the standby.
const (
	// StatePending: the owner has stored the claim; the standby has not confirmed it.
	StatePending RecordState = iota
	// StateGranted: an origin holds the right to run the request.
	StateGranted
	// StateFinished: the request ran; Answer holds the encoded answer.
	StateFinished
	// StateUnknown: the origin reported that the request may have run and failed.
	StateUnknown
	// StateReleased: the origin returned the right unused.
	StateReleased
)

// Record is one claim: it states who may run the request with this key.
type Record struct {
	// Key consists of the account and the caller's idempotency key.
	Key string
	// Digest is the Digest of the Request.
	Digest uint64
	// Origin is the ID of the member that the claim was granted to.
	Origin string
	// Token distinguishes this grant from earlier ones of the same key.
	Token uint64
	// Sequence orders the owners' writes of this record, across all epochs, so that
	// a delayed copy never replaces a newer one.
	Sequence uint64
	State    RecordState
	// Answer is the encoded answer, nil if it is too large to be stored.
	Answer []byte
	// Expires is by the local clock; the time remaining is sent to peers instead.
	Expires time.Time
}

// ClaimOutcome is the owner's decision on a ClaimRequest.
type ClaimOutcome int

// The outcomes of a ClaimRequest.
const (
	// ClaimRefused: the claim was not granted; the origin may retry later.
	ClaimRefused ClaimOutcome = iota
	// ClaimGranted: the origin may run the request now.
	ClaimGranted
	// ClaimHeld: the claim belongs to another grant; Record has its origin, or how
	// it ended.
	ClaimHeld
	// ClaimBehind: the epochs of origin and owner differ, or the member asked is not
	// the owner.
	ClaimBehind
	// ClaimLost: records of earlier epochs may be lost. No claim can be granted until
	// they were fetched, or until the retention has passed.
	ClaimLost
)

// ClaimRequest asks the owner of Key for the right to run its request.
type ClaimRequest struct {
	Epoch  uint64
	Key    string
	Digest uint64
	Origin string
	// Token identifies the grant; 0 only reads the record.
	Token uint64
}

// ClaimReply is the owner's reply to a ClaimRequest.
type ClaimReply struct {
	Outcome    ClaimOutcome
	Epoch      uint64 // of the owner's view
	Record     Record
	RetryAfter time.Duration
}

// CopyReply reports whether a record was stored, and the receiver's epoch.
type CopyReply struct {
	Stored bool
	Epoch  uint64
}

// Settlement ends the claim that was granted for Key with Token.
type Settlement struct {
	Epoch uint64
	Key   string
	Token uint64
	// State is the final state of the claim.
	State RecordState
	// Answer is the encoded answer in StateFinished, if it is small enough to be stored.
	Answer []byte
}

// FetchRequest asks a peer for all its records of slots. The sender is at Epoch.
type FetchRequest struct {
	Epoch uint64
	Slots []uint32
	// View is the encoded view of Epoch, so that the receiver can advance to Epoch first.
	View []byte
}

// SlotRecords are a member's records of one slot.
type SlotRecords struct {
	Slot uint32
	// CompleteThrough is the epoch up to which Records has every grant.
	CompleteThrough uint64
	// CompleteEpochs lists single later epochs of which Records has every grant.
	CompleteEpochs []uint64
	Records        []Record
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Epoch uint64 // of the receiver's view; Slots is empty if it is lower than requested
	Slots []SlotRecords
}

// ShareDemand is an entry's demand for units of one account's limits.
type ShareDemand struct {
	Account string
	// Rate is the number of requests demanded from the rate limit.
	Rate int64
	// Held is the number of concurrency units that the entry leases now, Concurrency
	// the number that it demands in total.
	Held        int64
	Concurrency int64
}

// ShareLease is what an account's owner granted in reply to a ShareRequest.
type ShareLease struct {
	Account string
	// Rate is the number of requests granted from the rate limit.
	Rate int64
	// Concurrency is the number of concurrency units granted in total.
	Concurrency int64
	RetryAfter  time.Duration
	// Limited is false when the owner knows no limit of the account.
	Limited bool
}

// ShareRequest asks an owner for shares of several accounts' limits.
type ShareRequest struct {
	From    string // member ID of the sender
	Epoch   uint64
	Demands []ShareDemand
}

// ShareReply answers a ShareRequest, with one lease per account in the same order.
type ShareReply struct {
	Epoch  uint64
	Leases []ShareLease
}

// TableDocument is a table in its stored form: the encoded root and encoded chunks, of
// which it may have only those that changed since the version of its reader.
type TableDocument struct {
	Version uint64
	Root    []byte
	Chunks  [][]byte
}
