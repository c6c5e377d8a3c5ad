// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package claims decides which entry may run a request that is not repeatable.
//
// # Model
//
// An origin (the entry that received the request) requests a claim from the
// owner of the key's slot. The owner records the claim, copies it to the
// standby, and grants it only after the standby has stored the copy (package
// claim has the state machine). When the request has ended, the origin settles
// the claim: finished with the answer, unknown, or released when nothing ran. A
// later submission with the same key gets the stored answer, waits for the run
// in progress, or fails because the outcome is not known.
//
// This package never calls the key-value service: claims keep working during
// its outages, when the view cannot change.
//
// # Invariants
//
//   - A ticket is used only for half of the store's retention, counted from
//     before its request was sent.
//   - A grant whose reply was lost, or was a refusal, is never used, and is
//     released.
package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/fleet"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/view"
	"github.com/pkg/errors"
)

const (
	// requestTimeout bounds one claim request or settlement sent to the owner,
	// copyTimeout one copy that the owner sends to the standby. A request includes
	// the copy, so it must be the longer one.
	requestTimeout = 600 * time.Millisecond
	copyTimeout    = 250 * time.Millisecond
	// maxRequestAttempts bounds the requests of one requestClaim call that fail or
	// find the owner at another epoch.
	maxRequestAttempts = 4
	// minHeldPause and maxHeldPause bound the pause between two requests for a key
	// that another request holds, and between two attempts of requestClaim. If an
	// owner that may have lost records asks for a longer pause, the request fails.
	minHeldPause = 20 * time.Millisecond
	maxHeldPause = 200 * time.Millisecond
	// maxSettleAttempts bounds the attempts to settle a claim; after them, the
	// claim stays as it is until it expires. A release stops after a quarter of them,
	// since an owner that never recorded the claim never confirms its release.
	maxSettleAttempts = 30
	// MaxAnswerBytes is the size in bytes of the largest answer that is stored with a
	// claim; a larger one is dropped.
	MaxAnswerBytes = 64 << 10
)

// Claims implements the three roles of this process: origin, owner and standby.
// It is safe for concurrent use.
type Claims struct {
	store *claim.Store
	fleet *fleet.Fleet
	peers hookhall.Peers
	log   *log.Logger

	// settling counts the settlements in progress.
	settling sync.WaitGroup
	// granted, held and refused are the totals of Counts.
	granted atomic.Int64
	held    atomic.Int64
	refused atomic.Int64
	// lastToken is the token of the newest request.
	lastToken atomic.Uint64
}

// New returns a Claims that keeps its records in s and reaches other entries
// through p. Tokens count up from a random number, so that those of different
// processes differ.
func New(s *claim.Store, f *fleet.Fleet, p hookhall.Peers, l *log.Logger) *Claims {
	c := &Claims{store: s, fleet: f, peers: p, log: l}
	c.lastToken.Store(rand.Uint64() >> 1)
	return c
}

// Ticket is the right to run one request.
type Ticket struct {
	// Key is the account's name and the caller's key, as passed to Acquire.
	Key string
	// Token identifies the grant among those of the same key.
	Token uint64
	// Epoch is the owner's epoch when it granted the claim.
	Epoch uint64
	// usableUntil is by the monotonic clock. It counts from before the request was
	// sent, so it comes before the owner lets the claim expire.
	usableUntil time.Time
}

// Usable reports whether the ticket may still be used. Callers check it right
// before they send a call.
func (t *Ticket) Usable(now time.Time) bool { return now.Before(t.usableUntil) }

// Acquire requests the right to run the request with a key, and waits until ctx
// ends while another run of it is in progress. It returns a ticket, or the
// record of a claim that has finished, or a *hookhall.Error. digest identifies
// the request content: a key that was used with another digest is refused.
func (c *Claims) Acquire(ctx context.Context, key string, digest uint64) (*Ticket, *hookhall.Record, error) {
	backoff := retry.NewWithDelays(minHeldPause, maxHeldPause)
	for {
		requestedAt := clock.Now()
		q := hookhall.ClaimRequest{Key: key, Digest: digest, Origin: c.fleet.Self().ID, Token: c.lastToken.Add(1)}
		reply, err := c.requestClaim(ctx, q)
		if err != nil {
			c.refused.Add(1)
			c.logNotGranted(key, reply.Record, requestedAt, err)
			return nil, nil, err
		}
		if reply.Outcome == hookhall.ClaimGranted {
			c.granted.Add(1)
			return &Ticket{key, reply.Record.Token, reply.Epoch, requestedAt.Add(c.store.Retention() / 2)}, nil, nil
		}
		finished, err := c.checkHeld(reply.Record, digest)
		if finished {
			c.held.Add(1)
			return nil, &reply.Record, nil
		}
		if err == nil {
			backoff.Wait(ctx)
			if ctx.Err() == nil {
				continue
			}
			err = hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseInProgress,
				"another submission with this key is still running").WithRetryAfter(maxHeldPause)
		}
		c.held.Add(1)
		c.logNotGranted(key, reply.Record, requestedAt, err)
		return nil, nil, err
	}
}

// logNotGranted logs why a key was not granted: who holds it, with which token,
// and how long ago the last request was sent.
func (c *Claims) logNotGranted(key string, r hookhall.Record, requestedAt time.Time, err error) {
	c.log.Info("claim not granted", "key", key, "error", err.Error(), "epoch", c.store.Placement().View.Epoch,
		"holder", r.Origin, "token", r.Token, "state", r.State, "sequence", r.Sequence, "took", clock.Now().Sub(requestedAt))
}

// checkHeld reports whether the run of a held record has finished. It returns an
// error when waiting for it is of no use, and false and nil while it may go on.
func (c *Claims) checkHeld(r hookhall.Record, digest uint64) (bool, error) {
	switch {
	case r.Digest != digest:
		return false, hookhall.Errorf(hookhall.NotRun, hookhall.CauseKeyReused,
			"this key was used before with another request")
	case r.State == hookhall.StateFinished:
		return true, nil
	case r.State == hookhall.StateUnknown:
		return false, unknownOutcomeError(c.store.Retention())
	case !c.store.Placement().IsMember(r.Origin):
		return false, unknownOutcomeError(c.store.Retention())
	}
	return false, nil
}

// unknownOutcomeError returns the error for a key whose earlier run may have taken
// place; a retry makes sense after the retention.
func unknownOutcomeError(retention time.Duration) error {
	return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseUnknown,
		"an earlier submission with this key may have run, and its outcome is not known").WithRetryAfter(retention)
}

// Peek returns hookhall.NotRun when nobody has claimed the key, and
// hookhall.MayHaveRun when somebody has or the owner can't be reached.
func (c *Claims) Peek(ctx context.Context, key string) hookhall.Verdict {
	reply, err := c.requestClaim(ctx, hookhall.ClaimRequest{Key: key, Origin: c.fleet.Self().ID})
	if err == nil && reply.Outcome == hookhall.ClaimRefused {
		return hookhall.NotRun
	}
	return hookhall.MayHaveRun
}

// requestClaim sends a request to the key's owner until the claim is granted or
// held, with at most maxRequestAttempts attempts. With token 0 it only reads; the
// outcome ClaimRefused then means that there is no claim, and ends it, too.
func (c *Claims) requestClaim(ctx context.Context, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	backoff := retry.NewWithDelays(minHeldPause, maxHeldPause)
	last := hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseNoClaim, "no owner of the key could be asked")
	for i := 0; i < maxRequestAttempts && ctx.Err() == nil; i++ {
		p := c.store.Placement()
		pair := p.Pairs[view.SlotOf(q.Key)]
		if pair.Owner == nil {
			break
		}
		q.Epoch = p.View.Epoch
		reply, err := c.requestFromOwner(ctx, *pair.Owner, q)
		switch {
		case err != nil:
			// The owner may have granted the claim; that grant is never used.
			q.Token = c.releaseUnused(q)
			last = hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseNoClaim, "the key's owner did not answer")
		case reply.Outcome == hookhall.ClaimGranted, reply.Outcome == hookhall.ClaimHeld:
			return c.verifyReply(reply, q)
		case reply.Outcome == hookhall.ClaimRefused && q.Token == 0:
			return reply, nil
		case reply.Outcome == hookhall.ClaimRefused:
			// The standby may hold the claim as granted, and become the owner.
			q.Token = c.releaseUnused(q)
			last = hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoClaim, "the key's standby did not answer")
		case reply.Outcome == hookhall.ClaimLost:
			last = hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseNoClaim,
				"records of earlier submissions may have been lost").WithRetryAfter(reply.RetryAfter)
			if reply.RetryAfter > maxHeldPause {
				return reply, last
			}
		case reply.Outcome == hookhall.ClaimBehind:
			c.syncEpoch(ctx, *pair.Owner, reply.Epoch, q.Epoch)
		}
		backoff.Wait(ctx)
	}
	if last.RetryAfter == 0 {
		last.RetryAfter = time.Second
	}
	return hookhall.ClaimReply{}, last
}

// verifyReply returns an error if the reply is for another key, or grants the
// claim to a token other than the requested one. The grant that the request may have
// got nevertheless is released.
func (c *Claims) verifyReply(reply hookhall.ClaimReply, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	if reply.Record.Key != q.Key || reply.Outcome == hookhall.ClaimGranted && reply.Record.Token != q.Token {
		c.releaseUnused(q)
		return reply, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseMisdirected, "the owner answered for another key")
	}
	return reply, nil
}

// syncEpoch brings this process and the owner of a key, or its standby, to the
// same epoch: it sends the view if the member is behind the requested epoch, and
// else fetches the member's view.
func (c *Claims) syncEpoch(ctx context.Context, member hookhall.Member, memberEpoch, requestedEpoch uint64) {
	if member.ID == c.fleet.Self().ID {
		return
	}
	if memberEpoch < requestedEpoch {
		_ = c.fleet.Push(ctx, member) // on failure, the next request finds the epochs still different
		return
	}
	_ = c.fleet.Probe(ctx, member)
}

// requestFromOwner sends one request to the owner, which may be this process, and
// waits for the reply for at most requestTimeout.
func (c *Claims) requestFromOwner(ctx context.Context, owner hookhall.Member, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if owner.ID == c.fleet.Self().ID {
		return c.Handle(ctx, q), nil
	}
	return c.peers.Peer(owner.Address).Claim(ctx, q)
}

// Handle answers an origin's claim request, as owner.
func (c *Claims) Handle(ctx context.Context, q hookhall.ClaimRequest) hookhall.ClaimReply {
	reply, grant := c.store.Begin(q, clock.Now())
	if grant == nil {
		return reply
	}
	return c.store.Complete(grant, c.copyToStandby(ctx, grant))
}

// copyToStandby sends a record to the standby and reports whether it was stored.
func (c *Claims) copyToStandby(ctx context.Context, g *claim.Grant) bool {
	// The copy goes on if the origin disconnects: a record that is neither granted
	// nor refused would block its key needlessly.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	reply, err := c.peers.Peer(g.Standby.Address).Copy(ctx, g.Epoch, g.Record)
	if err != nil {
		return false
	}
	if !reply.Stored && reply.Epoch != g.Epoch {
		c.syncEpoch(ctx, g.Standby, reply.Epoch, g.Epoch)
	}
	return reply.Stored
}

// HandleCopy stores an owner's copy of a record, as standby.
func (c *Claims) HandleCopy(epoch uint64, r hookhall.Record) hookhall.CopyReply {
	return c.store.Copy(epoch, r, clock.Now())
}

// HandleSettle settles a claim for its origin, as owner. The reply's Stored is set
// only if the standby has stored the settlement too, since the standby may become
// the owner.
func (c *Claims) HandleSettle(ctx context.Context, s hookhall.Settlement) hookhall.CopyReply {
	stored, epoch, grant := c.store.Settle(s, clock.Now())
	if grant != nil {
		stored = c.copyToStandby(ctx, grant)
	}
	return hookhall.CopyReply{Stored: stored, Epoch: epoch}
}

// Settle ends a claim in the given state. It returns when the owner and the
// standby have stored the settlement, or after wait; in the latter case it goes on
// in the background, which Drain waits for. An answer that is larger than
// MaxAnswerBytes is not stored.
func (c *Claims) Settle(t *Ticket, state hookhall.RecordState, answer []byte, wait time.Duration) {
	if len(answer) > MaxAnswerBytes {
		answer = nil
	}
	done := make(chan struct{})
	c.settling.Add(1)
	go func() {
		defer c.settling.Done()
		defer close(done)
		c.settleWithRetries(hookhall.Settlement{Key: t.Key, Token: t.Token, State: state, Answer: answer})
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Drain waits for the settlements in progress. It returns an error if ctx ends
// first; the claims that are left then expire.
func (c *Claims) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.settling.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "settlements of claims are still in progress; these claims will expire")
	}
}

// releaseUnused releases, in the background, a claim that the owner or its standby
// may have recorded as granted and that is not used. It returns the token for the
// next request; 0, which only reads, stays 0.
func (c *Claims) releaseUnused(q hookhall.ClaimRequest) uint64 {
	if q.Token == 0 {
		return 0
	}
	c.log.Info("releasing a grant that may exist and is not used", "key", q.Key, "token", q.Token, "epoch", q.Epoch)
	c.settling.Add(1)
	go func() {
		defer c.settling.Done()
		c.settleWithRetries(hookhall.Settlement{Key: q.Key, Token: q.Token, State: hookhall.StateReleased})
	}()
	return c.lastToken.Add(1)
}

// settleWithRetries sends a settlement until the owner has stored it, with at most
// maxSettleAttempts attempts.
func (c *Claims) settleWithRetries(s hookhall.Settlement) {
	backoff := retry.New()
	ctx := context.Background()
	for i := 0; i < maxSettleAttempts; i++ {
		owner := c.store.Placement().Pairs[view.SlotOf(s.Key)].Owner
		if owner != nil && c.settleAtOwner(ctx, *owner, s) {
			return
		}
		if s.State == hookhall.StateReleased && i >= maxSettleAttempts/4 {
			return // the owner never recorded the claim, or has dropped it
		}
		backoff.Wait(ctx)
	}
	c.log.Warn("can't settle a claim; it will expire", "key", s.Key, "state", s.State)
}

// settleAtOwner sends a settlement to the owner once, and reports whether it was
// stored.
func (c *Claims) settleAtOwner(ctx context.Context, owner hookhall.Member, s hookhall.Settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if owner.ID == c.fleet.Self().ID {
		return c.HandleSettle(ctx, s).Stored
	}
	reply, err := c.peers.Peer(owner.Address).Settle(ctx, s)
	return err == nil && reply.Stored
}

// Counts holds totals of Acquire calls since the start of the process.
type Counts struct {
	// Granted counts calls that got a ticket.
	Granted int64 `json:"granted"`
	// Held counts calls that found the key claimed by an earlier submission.
	Held int64 `json:"held"`
	// Refused counts calls that got no answer from an owner, or a refusal.
	Refused int64 `json:"refused"`
}

// Counts returns the totals since the start of the process.
func (c *Claims) Counts() Counts {
	return Counts{c.granted.Load(), c.held.Load(), c.refused.Load()}
}
