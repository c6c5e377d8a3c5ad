// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/view"
)

const (
	// witnesses is how many others must agree on a member that does not answer, and
	// witnessesMost how many are asked for that.
	witnesses     = 2
	witnessesMost = 5
	// aloneFactor is by how much longer a member is suspected by one whom too few
	// witnesses answer. The others, if they live, take that one out meanwhile.
	aloneFactor = 6
)

// heartbeats probes this member's successors.
func (f *Fleet) heartbeats(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(f.timing.Heartbeat)) {
		var wg sync.WaitGroup
		for _, m := range successors(f.View().Members, f.self.ID, Successors) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.check(ctx, m)
			}()
		}
		wg.Wait()
	}
}

// successors are the n members after self on a ring ordered by hash. A process
// that is not a member probes from where it would stand.
func successors(members []hookhall.Member, self string, n int) []hookhall.Member {
	ring := make([]hookhall.Member, 0, len(members))
	for _, m := range members {
		if m.ID != self {
			ring = append(ring, m)
		}
	}
	at := xxhash.Sum64String(self)
	sort.Slice(ring, func(i, j int) bool {
		// Distance on the ring: unsigned arithmetic wraps round.
		return xxhash.Sum64String(ring[i].ID)-at < xxhash.Sum64String(ring[j].ID)-at
	})
	return ring[:min(n, len(ring))]
}

// check probes one member and acts on repeated failure. Who is not a member itself acts on
// nothing: it may be the one that is cut off.
func (f *Fleet) check(ctx context.Context, m hookhall.Member) {
	s := f.countProbe(m, f.Probe(ctx, m))
	if s.failed < f.timing.Suspect || ctx.Err() != nil || f.leaving.Load() || !f.member() {
		return
	}
	reached, alone := f.askWitnesses(ctx, m)
	if reached || alone && !f.surelyGone(m) && !f.outwaited(ctx, s) {
		return
	}
	f.remove(ctx, m)
}

// outwaited tells whether those who may suspect this process in turn have had the time and
// the service to take it out. It reads the view, which tells whether they have.
func (f *Fleet) outwaited(ctx context.Context, s suspicion) bool {
	e, err := f.kv.Get(ctx, tables.ViewKey)
	if err == nil {
		err = f.follow(e)
	}
	if err != nil {
		f.noteUnserved()
		return false
	}
	since := s.since
	if t := f.unserved.Load(); t != nil && t.After(since) {
		since = *t
	}
	return f.member() && clock.Since(since) >= aloneFactor*time.Duration(f.timing.Suspect)*f.timing.Heartbeat
}

func (f *Fleet) noteUnserved() {
	now := clock.Now()
	f.unserved.Store(&now)
}

// suspicion is how many probes of a member have failed in a row, and since when.
type suspicion struct {
	failed int
	since  time.Time
}

// countProbe counts one probe of a member.
func (f *Fleet) countProbe(m hookhall.Member, err error) suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || !f.member() {
		delete(f.suspected, m.ID)
		return suspicion{}
	}
	s := f.suspected[m.ID]
	if s.failed == 0 {
		s.since = clock.Now()
	}
	s.failed++
	f.suspected[m.ID] = s
	return s
}

// Probe sends one heartbeat and takes in what the reply brings.
func (f *Fleet) Probe(ctx context.Context, m hookhall.Member) error {
	return f.probe(ctx, m, nil)
}

// Push sends a heartbeat that carries the view, to a member that is behind.
func (f *Fleet) Push(ctx context.Context, m hookhall.Member) error {
	return f.probe(ctx, m, view.Encode(f.View()))
}

func (f *Fleet) probe(ctx context.Context, m hookhall.Member, encoded []byte) error {
	limit := f.timing.Heartbeat
	pctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	peer := f.peers.Peer(m.Address)
	sent := f.View().Epoch
	reply, err := peer.Probe(pctx, hookhall.Probe{
		From: f.self.ID, Epoch: sent, TableVersion: f.tables.Version(), View: encoded, Leaving: f.seenLeaving(),
	})
	if err != nil {
		return err
	}
	f.heard.add(reply.Leaving, clock.Now())
	f.takeView(reply.View)
	f.tables.Hint(ctx, reply.TableVersion, peer)
	if reply.Epoch < sent && encoded == nil {
		return f.Push(ctx, m)
	}
	return nil
}

// CatchUp takes the newest table among this member's successors before it
// serves: what the service showed it may have been an older one.
func (f *Fleet) CatchUp(ctx context.Context) {
	for _, m := range successors(f.View().Members, f.self.ID, Successors) {
		pctx, cancel := context.WithTimeout(ctx, f.timing.Heartbeat)
		peer := f.peers.Peer(m.Address)
		reply, err := peer.Probe(pctx, hookhall.Probe{From: f.self.ID, Epoch: f.View().Epoch, TableVersion: f.tables.Version()})
		cancel()
		if err != nil || reply.TableVersion <= f.tables.Version() {
			continue
		}
		if err := f.tables.Pull(ctx, peer); err != nil {
			f.log.Warn("Can't catch up with a peer.", "member", m.ID, "error", err.Error())
		}
	}
}

func (f *Fleet) takeView(b []byte) {
	if len(b) == 0 {
		return
	}
	v, err := view.Decode(b)
	if err != nil {
		f.log.Warn("A peer sent a wrong view.", "error", err.Error())
		return
	}
	f.Adopt(v)
}

// HandleProbe answers a heartbeat.
func (f *Fleet) HandleProbe(ctx context.Context, p hookhall.Probe) hookhall.ProbeReply {
	f.takeView(p.View)
	f.heard.add(p.Leaving, clock.Now())
	v := f.View()
	if m, ok := view.Find(v, p.From); ok {
		f.tables.Hint(context.WithoutCancel(ctx), p.TableVersion, f.peers.Peer(m.Address))
	}
	r := hookhall.ProbeReply{ID: f.self.ID, Epoch: v.Epoch, TableVersion: f.tables.Version(), Leaving: f.seenLeaving()}
	if p.Epoch < v.Epoch && p.From != "admin" {
		r.View = view.Encode(v)
	}
	return r
}

// HandleProbeFor probes an address for another member.
func (f *Fleet) HandleProbeFor(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, f.timing.Heartbeat)
	defer cancel()
	_, err := f.peers.Peer(address).Probe(ctx, hookhall.Probe{From: f.self.ID, Epoch: f.View().Epoch})
	return err == nil
}

// askWitnesses asks others whether they reach a member, in an order by hash that differs by
// member, until one does or enough have answered. With fewer answers than half of those
// asked, this process may be the one that is alone.
func (f *Fleet) askWitnesses(ctx context.Context, m hookhall.Member) (reached, alone bool) {
	asked, answered := 0, 0
	for _, w := range successors(f.View().Members, m.ID+"/witness", witnessesMost+2) {
		if w.ID == m.ID || w.ID == f.self.ID || asked == witnessesMost {
			continue
		}
		asked++
		wctx, cancel := context.WithTimeout(ctx, 2*f.timing.Heartbeat)
		seen, err := f.peers.Peer(w.Address).ProbeFor(wctx, m.Address)
		cancel()
		if err == nil {
			answered++
		}
		if seen || answered == witnesses {
			return seen, false
		}
	}
	return false, answered < min(witnesses, (asked+1)/2)
}

// remove takes a member out of the view that nobody can reach.
func (f *Fleet) remove(ctx context.Context, m hookhall.Member) {
	gone := f.surelyGone(m)
	f.log.Warn("Member does not answer; taking it out.", "member", m.ID, "gone", gone)
	err := f.change(ctx, "remove", func(v *hookhall.View) *hookhall.View { return view.Leave(v, m.ID, gone) })
	if err != nil {
		f.log.Warn("Can't take it out.", "member", m.ID, "error", err.Error())
		return
	}
	f.mu.Lock()
	delete(f.suspected, m.ID)
	f.mu.Unlock()
}

// surelyGone tells whether the platform's list, read lately, lacks the
// member's instance.
func (f *Fleet) surelyGone(m hookhall.Member) bool {
	l := f.listed.Load()
	return l != nil && clock.Since(l.At) < 3*f.timing.List && len(l.Instances) > 0 && !l.Has(m.Instance)
}

// readList reads the platform's list, and fences members that it says are gone.
func (f *Fleet) readList(ctx context.Context) {
	// A list that shows nothing yet is read again soon: a new fleet's list lags.
	soon := retry.Between(min(retry.First, f.timing.List), f.timing.List)
	for ctx.Err() == nil {
		list, err := f.list.List(ctx)
		if err == nil {
			f.listed.Store(&Listing{list, clock.Now()})
			f.fenceGone(ctx)
		} else if ctx.Err() == nil {
			f.log.Warn("Can't read the instance list.", "error", err.Error())
		}
		if err == nil && len(list) == 0 {
			soon.Wait(ctx)
			continue
		}
		if !retry.Sleep(ctx, retry.Jitter(f.timing.List)) {
			return
		}
	}
}

// fenceGone is done by one member for each gone one: the first on the ring.
func (f *Fleet) fenceGone(ctx context.Context) {
	v := f.View()
	for _, m := range v.Unfenced {
		first := successors(v.Members, m.ID, 1)
		if len(first) == 0 || first[0].ID != f.self.ID || !f.surelyGone(m) {
			continue
		}
		err := f.change(ctx, "fence", func(v *hookhall.View) *hookhall.View { return view.Fence(v, m.ID) })
		if err != nil {
			f.log.Warn("Can't fence a gone member.", "member", m.ID, "error", err.Error())
		}
	}
}
