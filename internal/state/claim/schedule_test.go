// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
	. "github.com/smartystreets/goconvey/convey"
)

// world drives real stores through a random schedule of messages, kills,
// freezes, cuts and views. It replaces the network, the master and nothing
// else. A key that runs twice is a double.
type world struct {
	r       *rand.Rand
	now     time.Time
	master  *hookhall.View
	nodes   map[string]*node
	names   []string
	pending []*flight
	runs    map[string]int
	tokens  uint64
	born    int
	mutant  mutant
	grants  int
	used    map[uint32]bool
}

type node struct {
	member hookhall.Member
	store  *Store
	dead   bool
	frozen bool
	cut    bool
}

// flight is a claim on its way: copied and completed in later steps.
type flight struct {
	owner  *node
	grant  *Grant
	copied bool
	stored bool
}

// mutant weakens the protocol, to show that the schedules find it.
type mutant int

const (
	whole mutant = iota
	noStandby
	noWait
)

const (
	retention = time.Hour
	// keys are few, so that each is asked for many times.
	keys = 24
)

func newWorld(seed uint64, m mutant) *world {
	w := &world{r: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), master: &hookhall.View{},
		nodes: map[string]*node{}, runs: map[string]int{}, used: map[uint32]bool{}, mutant: m}
	for i := 0; i < 5; i++ {
		w.spawn()
	}
	for _, n := range w.nodes {
		n.store.Advance(w.master)
	}
	return w
}

func (w *world) spawn() {
	w.born++
	m := hookhall.Member{ID: fmt.Sprintf("n%d#1", w.born), Instance: fmt.Sprintf("n%d", w.born), Hall: fmt.Sprintf("h%d", w.born%3)}
	keep := retention
	if w.mutant == noWait {
		keep = 0
	}
	w.nodes[m.ID] = &node{member: m, store: New(m.ID, keep)}
	w.names = append(w.names, m.ID)
	w.master = view.Join(w.master, m)
}

// any is a live node; dead ones take no part.
func (w *world) any() *node {
	for {
		if n := w.nodes[w.names[w.r.IntN(len(w.names))]]; !n.dead {
			return n
		}
	}
}

// dead is a member of the view that has died, if there is one.
func (w *world) dead() *node {
	for _, m := range w.master.Members {
		if n := w.nodes[m.ID]; n.dead {
			return n
		}
	}
	return nil
}

func reach(a, b *node) bool {
	return a == b && !a.dead && !a.frozen || !a.dead && !b.dead && !a.frozen && !b.frozen && !a.cut && !b.cut
}

func (w *world) step() {
	switch x := w.r.IntN(1000); {
	case x < 300:
		w.submit()
	case x < 600:
		w.progress()
	case x < 700:
		if n := w.any(); !n.frozen {
			n.store.Advance(w.master)
		}
	case x < 900:
		w.repair(w.any())
	case x < 915:
		w.any().frozen = true
	case x < 930:
		w.any().cut = true
	case x < 975:
		n := w.any()
		n.frozen, n.cut = false, false
	case x < 982:
		w.kill()
	default:
		w.change()
	}
}

// kill ends a node for good; another takes its place, and three
// always live.
func (w *world) kill() {
	alive := 0
	for _, n := range w.nodes {
		if !n.dead {
			alive++
		}
	}
	if alive <= 3 {
		return
	}
	// Half of the time a whole pair goes at once, as with a rack.
	victims := []hookhall.Member{w.any().member}
	if w.r.IntN(2) == 0 {
		slot := view.SlotOf(fmt.Sprintf("k%d", w.r.IntN(keys)))
		victims = view.PairOf(w.master.Members, slot).Members()
	}
	for _, m := range victims {
		if n := w.nodes[m.ID]; !n.dead {
			n.dead = true
			w.spawn()
		}
	}
}

// change takes a member out on evidence, right or wrong, or lets one back in.
func (w *world) change() {
	n := w.dead()
	if n == nil {
		n = w.any()
	}
	if _, in := view.Find(w.master, n.member.ID); !in {
		if !n.dead {
			w.master = view.Join(w.master, n.member)
		}
		return
	}
	if len(w.master.Members) > 2 && (n.dead || n.frozen || n.cut) {
		w.master = view.Leave(w.master, n.member.ID, n.dead)
	}
}

// submit asks for one of few keys, as a caller that retries would.
func (w *world) submit() {
	origin := w.any()
	if origin.dead || origin.frozen {
		return
	}
	key := fmt.Sprintf("k%d", w.r.IntN(keys))
	w.used[view.SlotOf(key)] = true
	p := origin.store.Placement()
	pair := p.Pairs[view.SlotOf(key)]
	if pair.Owner == nil || !reach(origin, w.nodes[pair.Owner.ID]) {
		return
	}
	owner := w.nodes[pair.Owner.ID]
	w.tokens++
	q := hookhall.ClaimRequest{Epoch: p.View.Epoch, Key: key, Origin: origin.member.ID, Token: w.tokens}
	reply, grant := owner.store.Begin(q, w.now)
	switch {
	case grant != nil:
		w.pending = append(w.pending, &flight{owner: owner, grant: grant})
	case reply.Outcome == hookhall.ClaimGranted:
		w.run(key)
	case reply.Outcome == hookhall.ClaimBehind && w.r.IntN(2) == 0:
		meet(origin, owner)
	}
}

func (w *world) run(key string) {
	w.grants++
	w.runs[key]++
}

// progress moves one claim on its way by one step, in any order.
func (w *world) progress() {
	if len(w.pending) == 0 {
		return
	}
	i := w.r.IntN(len(w.pending))
	f := w.pending[i]
	if f.owner.frozen {
		return
	}
	if f.owner.dead {
		w.drop(i)
		return
	}
	if !f.copied {
		f.copied = true
		standby := w.nodes[f.grant.Standby.ID]
		if w.mutant == noStandby {
			f.stored = true
		} else if reach(f.owner, standby) {
			f.stored = standby.store.Copy(f.grant.Epoch, f.grant.Record, w.now).Stored && w.r.IntN(10) > 0
			if !f.stored && w.r.IntN(2) == 0 {
				meet(f.owner, standby)
			}
		}
		return
	}
	reply := f.owner.store.Complete(f.grant, f.stored)
	if reply.Outcome == hookhall.ClaimGranted && w.r.IntN(10) > 0 {
		w.run(f.grant.Record.Key)
	}
	w.drop(i)
}

func (w *world) drop(i int) { w.pending = append(w.pending[:i], w.pending[i+1:]...) }

// meet brings two nodes that can reach each other to the newer of their views.
func meet(a, b *node) {
	if !reach(a, b) {
		return
	}
	a.store.Advance(b.store.Placement().View)
	b.store.Advance(a.store.Placement().View)
}

// repair is what package fleet does: rounds of fetching while they help.
func (w *world) repair(n *node) {
	if n.dead || n.frozen {
		return
	}
	for before := -1; ; {
		sum := 0
		for _, need := range n.store.Missing() {
			if w.used[need.Slot] {
				sum += int(need.Epoch) + 1000
			}
		}
		if sum == 0 || sum == before {
			return
		}
		before = sum
		w.fetch(n)
	}
}

// fetch asks, for each missing layer, who served it.
func (w *world) fetch(n *node) {
	v := n.store.Placement().View
	for _, need := range n.store.Missing() {
		if !w.used[need.Slot] {
			continue // no key of the test falls into it
		}
		members, ok := view.At(v, need.Epoch)
		if !ok {
			continue
		}
		pair := view.PairOf(members, need.Slot).Members()
		gone := true
		for _, m := range pair {
			source := w.nodes[m.ID]
			_, member := view.Find(v, m.ID)
			for _, u := range v.Unfenced {
				member = member || u.ID == m.ID
			}
			gone = gone && !member
			if source == n || !reach(n, source) {
				continue
			}
			source.store.Advance(v)
			for _, s := range source.store.Records(v.Epoch, []uint32{need.Slot}).Slots {
				n.store.Merge(s)
			}
		}
		if gone {
			n.store.Lost(need, w.now)
		}
	}
}

func (w *world) doubles() int {
	d := 0
	for _, n := range w.runs {
		if n > 1 {
			d++
		}
	}
	return d
}

// play runs schedules until one has doubles; it returns how many it played and
// the grants in all.
func play(m mutant, schedules, steps int) (played, grants int, doubled bool) {
	for seed := 0; seed < schedules; seed++ {
		w := newWorld(uint64(seed), m)
		for i := 0; i < steps; i++ {
			w.step()
		}
		grants += w.grants
		if w.doubles() > 0 {
			return seed + 1, grants, true
		}
	}
	return schedules, grants, false
}

func TestSchedules(t *testing.T) {
	const schedules, steps = 60, 600
	Convey("Over random schedules of kills, freezes, cuts and views", t, func() {
		Convey("no key is granted twice", func() {
			played, grants, doubled := play(whole, schedules, steps)
			t.Logf("whole protocol: %d schedules, %d grants, doubled: %t", played, grants, doubled)
			So(doubled, ShouldBeFalse)
			So(grants, ShouldBeGreaterThan, schedules)
		})
		for name, m := range map[string]mutant{"the standby's word": noStandby, "the wait after a lost pair": noWait} {
			Convey("without "+name+" one is", func() {
				played, grants, doubled := play(m, schedules, steps)
				t.Logf("without %s: %d schedules, %d grants, doubled: %t", name, played, grants, doubled)
				So(doubled, ShouldBeTrue)
			})
		}
	})
}
