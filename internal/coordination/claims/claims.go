// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package claims decides which entry may run a request that is not repeatable.
//
// # Model
//
// An origin (the entry that got the request) asks the owner of the key's slot.
// The owner records the claim, has its standby store a copy, and only then
// grants it (package claim has the state machine). When the request has ended,
// the origin settles the claim: finished with the answer, unknown, or released
// when nothing ran. Whoever comes again with the same key gets the stored
// answer, waits for the run in progress, or is told that the outcome is not
// known.
//
// No call of the key-value service is made here: claims go on in its outages,
// in which the view cannot change.
//
// # Invariants
//
//   - A ticket is used only for UseTime after it was asked for.
//   - A grant whose answer did not come, or was a refusal, is never used, and is
//     given back.
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
	// askTime bounds one ask of the owner, copyTime the owner's of the standby.
	askTime  = 600 * time.Millisecond
	copyTime = 250 * time.Millisecond
	// attempts bounds the asks of one Acquire that meet other epochs or fail.
	attempts = 4
	// heldPause is between looks at a claim that somebody holds.
	heldFirst = 20 * time.Millisecond
	heldMost  = 200 * time.Millisecond
	// settleTries bounds the tries to settle a claim.
	settleTries = 30
	// KeepAnswer is the largest answer that is stored with a claim.
	KeepAnswer = 64 << 10
)

// Claims is this process's part, as origin, owner and standby.
type Claims struct {
	store *claim.Store
	fleet *fleet.Fleet
	peers hookhall.Peers
	log   *log.Logger

	settling sync.WaitGroup
	granted  atomic.Int64
	held     atomic.Int64
	refused  atomic.Int64
	token    atomic.Uint64
}

// New makes a Claims.
func New(s *claim.Store, f *fleet.Fleet, p hookhall.Peers, l *log.Logger) *Claims {
	c := &Claims{store: s, fleet: f, peers: p, log: l}
	c.token.Store(rand.Uint64() >> 1)
	return c
}

// Ticket is the right to run one request.
type Ticket struct {
	Key   string
	Token uint64
	Epoch uint64
	// until is by the monotonic clock, from before the ask.
	until time.Time
}

// Usable tells whether the right may still be used. It is checked right before
// a call is sent.
func (t *Ticket) Usable(now time.Time) bool { return now.Before(t.until) }

// Acquire asks for the right to run a key. It returns a ticket, or the record
// of a claim that has ended, or an *hookhall.Error.
func (c *Claims) Acquire(ctx context.Context, key string, digest uint64) (*Ticket, *hookhall.Record, error) {
	pause := retry.Between(heldFirst, heldMost)
	for {
		asked := clock.Now()
		q := hookhall.ClaimRequest{Key: key, Digest: digest, Origin: c.fleet.Self().ID, Token: c.token.Add(1)}
		reply, err := c.ask(ctx, q)
		if err != nil {
			c.refused.Add(1)
			c.logHeld(key, reply.Record, asked, err)
			return nil, nil, err
		}
		if reply.Outcome == hookhall.ClaimGranted {
			c.granted.Add(1)
			return &Ticket{key, reply.Record.Token, reply.Epoch, asked.Add(c.store.Retention() / 2)}, nil, nil
		}
		done, err := c.judge(reply.Record, digest)
		if done {
			c.held.Add(1)
			return nil, &reply.Record, nil
		}
		if err == nil {
			pause.Wait(ctx)
			if ctx.Err() == nil {
				continue
			}
			err = hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseInProgress,
				"another submission with this key is still running").After(heldMost)
		}
		c.held.Add(1)
		c.logHeld(key, reply.Record, asked, err)
		return nil, nil, err
	}
}

// logHeld tells why a key was not granted: who holds it, by which token, and
// how long the last ask took.
func (c *Claims) logHeld(key string, r hookhall.Record, asked time.Time, err error) {
	c.log.Info("Claim not granted.", "key", key, "error", err.Error(), "epoch", c.store.Placement().View.Epoch,
		"holder", r.Origin, "token", r.Token, "state", r.State, "sequence", r.Sequence, "took", clock.Now().Sub(asked))
}

// judge says of a held record whether it has ended, or why waiting is no use.
func (c *Claims) judge(r hookhall.Record, digest uint64) (bool, error) {
	switch {
	case r.Digest != digest:
		return false, hookhall.Errorf(hookhall.NotRun, hookhall.CauseKeyReused,
			"this key was used before with another request")
	case r.State == hookhall.StateFinished:
		return true, nil
	case r.State == hookhall.StateUnknown:
		return false, unknown(c.store.Retention())
	case !c.store.Placement().Alive(r.Origin):
		return false, unknown(c.store.Retention())
	}
	return false, nil
}

func unknown(retention time.Duration) error {
	return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseUnknown,
		"an earlier submission with this key may have run, and its outcome is not known").After(retention)
}

// Peek tells what is known of a key: NotRun when nobody has claimed it.
func (c *Claims) Peek(ctx context.Context, key string) hookhall.Verdict {
	reply, err := c.ask(ctx, hookhall.ClaimRequest{Key: key, Origin: c.fleet.Self().ID})
	if err == nil && reply.Outcome == hookhall.ClaimRefused {
		return hookhall.NotRun
	}
	return hookhall.MayHaveRun
}

// ask asks the owner until it gets a granted or held claim. A look (token 0)
// also ends with ClaimRefused.
func (c *Claims) ask(ctx context.Context, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	pause := retry.Between(heldFirst, heldMost)
	last := hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseNoClaim, "no owner of the key could be asked")
	for i := 0; i < attempts && ctx.Err() == nil; i++ {
		p := c.store.Placement()
		pair := p.Pairs[view.SlotOf(q.Key)]
		if pair.Owner == nil {
			break
		}
		q.Epoch = p.View.Epoch
		reply, err := c.askOwner(ctx, *pair.Owner, q)
		switch {
		case err != nil:
			// The owner may have granted: that grant is never used.
			q.Token = c.giveBack(q)
			last = hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseNoClaim, "the key's owner did not answer")
		case reply.Outcome == hookhall.ClaimGranted, reply.Outcome == hookhall.ClaimHeld:
			return c.checked(reply, q)
		case reply.Outcome == hookhall.ClaimRefused && q.Token == 0:
			return reply, nil
		case reply.Outcome == hookhall.ClaimRefused:
			// The standby may hold it as granted, and be the owner next.
			q.Token = c.giveBack(q)
			last = hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoClaim, "the key's standby did not answer")
		case reply.Outcome == hookhall.ClaimLost:
			last = hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseNoClaim,
				"records of earlier submissions may have been lost").After(reply.RetryAfter)
			if reply.RetryAfter > heldMost {
				return reply, last
			}
		case reply.Outcome == hookhall.ClaimBehind:
			c.meet(ctx, *pair.Owner, reply.Epoch, q.Epoch)
		}
		pause.Wait(ctx)
	}
	if last.RetryAfter == 0 {
		last.RetryAfter = time.Second
	}
	return hookhall.ClaimReply{}, last
}

// checked refuses a grant that is not the one asked for.
func (c *Claims) checked(reply hookhall.ClaimReply, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	if reply.Record.Key != q.Key || reply.Outcome == hookhall.ClaimGranted && reply.Record.Token != q.Token {
		return reply, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseMisdirected, "the owner answered for another key")
	}
	return reply, nil
}

// meet brings this process and an owner to the same epoch.
func (c *Claims) meet(ctx context.Context, owner hookhall.Member, theirs, asked uint64) {
	if owner.ID == c.fleet.Self().ID {
		return
	}
	if theirs < asked {
		_ = c.fleet.Push(ctx, owner) // the next ask shows whether it helped
		return
	}
	_ = c.fleet.Probe(ctx, owner)
}

func (c *Claims) askOwner(ctx context.Context, owner hookhall.Member, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if owner.ID == c.fleet.Self().ID {
		return c.Handle(ctx, q), nil
	}
	return c.peers.Peer(owner.Address).Claim(ctx, q)
}

// Handle answers an origin, as owner.
func (c *Claims) Handle(ctx context.Context, q hookhall.ClaimRequest) hookhall.ClaimReply {
	reply, grant := c.store.Begin(q, clock.Now())
	if grant == nil {
		return reply
	}
	return c.store.Complete(grant, c.copy(ctx, grant))
}

// copy sends a record to the standby and tells whether it was stored.
func (c *Claims) copy(ctx context.Context, g *claim.Grant) bool {
	// The copy is not cut short by the origin's going away: a record that is
	// neither granted nor refused would block its key for nothing.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTime)
	defer cancel()
	r, err := c.peers.Peer(g.Standby.Address).Copy(ctx, g.Epoch, g.Record)
	if err != nil {
		return false
	}
	if !r.Stored && r.Epoch != g.Epoch {
		c.meet(ctx, g.Standby, r.Epoch, g.Epoch)
	}
	return r.Stored
}

// HandleCopy answers an owner, as standby.
func (c *Claims) HandleCopy(epoch uint64, r hookhall.Record) hookhall.CopyReply {
	return c.store.Copy(epoch, r, clock.Now())
}

// HandleSettle answers an origin, as owner. It is done when the standby has it too,
// since that may be the next owner.
func (c *Claims) HandleSettle(ctx context.Context, s hookhall.Settlement) hookhall.CopyReply {
	done, epoch, grant := c.store.Settle(s, clock.Now())
	if grant != nil {
		done = c.copy(ctx, grant)
	}
	return hookhall.CopyReply{Stored: done, Epoch: epoch}
}

// Settle ends a claim. It returns when the owner has it or wait has passed;
// then it goes on trying behind the caller's back.
func (c *Claims) Settle(t *Ticket, state hookhall.RecordState, answer []byte, wait time.Duration) {
	if len(answer) > KeepAnswer {
		answer = nil
	}
	done := make(chan struct{})
	c.settling.Add(1)
	go func() {
		defer c.settling.Done()
		defer close(done)
		c.settle(hookhall.Settlement{Key: t.Key, Token: t.Token, State: state, Answer: answer})
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// Drain waits for settlements in progress, or for the end of ctx.
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
		return errors.Wrap(ctx.Err(), "claims are not settled")
	}
}

// giveBack releases a grant that may have been given and is not used. It returns
// the token to ask with next.
func (c *Claims) giveBack(q hookhall.ClaimRequest) uint64 {
	if q.Token == 0 {
		return 0
	}
	c.log.Info("A grant that may have been given is given back.", "key", q.Key, "token", q.Token, "epoch", q.Epoch)
	c.settling.Add(1)
	go func() {
		defer c.settling.Done()
		c.settle(hookhall.Settlement{Key: q.Key, Token: q.Token, State: hookhall.StateReleased})
	}()
	return c.token.Add(1)
}

func (c *Claims) settle(s hookhall.Settlement) {
	pause := retry.New()
	ctx := context.Background()
	for i := 0; i < settleTries; i++ {
		owner := c.store.Placement().Pairs[view.SlotOf(s.Key)].Owner
		if owner != nil && c.settleAt(ctx, *owner, s) {
			return
		}
		if s.State == hookhall.StateReleased && i >= settleTries/4 {
			return // the owner never had it, or forgot it
		}
		pause.Wait(ctx)
	}
	c.log.Warn("Can't settle a claim; it will expire.", "key", s.Key, "state", s.State)
}

func (c *Claims) settleAt(ctx context.Context, owner hookhall.Member, s hookhall.Settlement) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if owner.ID == c.fleet.Self().ID {
		return c.HandleSettle(ctx, s).Stored
	}
	r, err := c.peers.Peer(owner.Address).Settle(ctx, s)
	return err == nil && r.Stored
}

// Counts are totals since the start.
type Counts struct {
	Granted int64 `json:"granted"`
	Held    int64 `json:"held"`
	Refused int64 `json:"refused"`
}

// Counts reads the totals.
func (c *Claims) Counts() Counts {
	return Counts{c.granted.Load(), c.held.Load(), c.refused.Load()}
}
