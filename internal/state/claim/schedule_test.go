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

// simulation drives real stores through a random schedule of messages, crashes,
// frozen and cut-off nodes, and view changes. It replaces only the network and the
// key-value service that holds the view. A schedule fails when a key runs twice.
type simulation struct {
	rand       *rand.Rand
	now        time.Time
	masterView *hookhall.View
	nodes      map[string]*node
	nodeIDs    []string
	pending    []*pendingClaim
	runsByKey  map[string]int
	lastToken  uint64
	spawned    int
	mutant     mutant
	grants     int
	usedSlots  map[uint32]bool
}

// node is one simulated process. A dead node never returns, a frozen one executes
// nothing, and a cut one exchanges no messages with others.
type node struct {
	member hookhall.Member
	store  *Store
	dead   bool
	frozen bool
	cut    bool
}

// pendingClaim is a claim that has a Grant and is copied and completed in later steps.
type pendingClaim struct {
	owner  *node
	grant  *Grant
	copied bool
	stored bool
}

// mutant selects a weakened protocol; the schedules must find its faults.
type mutant int

const (
	unmodified mutant = iota
	noStandby
	noWait
)

const (
	retention = time.Hour
	// keyCount is small, so that each key is claimed many times.
	keyCount = 24
)

func newSimulation(seed uint64, m mutant) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), masterView: &hookhall.View{},
		nodes: map[string]*node{}, runsByKey: map[string]int{}, usedSlots: map[uint32]bool{}, mutant: m}
	for i := 0; i < 5; i++ {
		w.spawn()
	}
	for _, n := range w.nodes {
		n.store.Advance(w.masterView)
	}
	return w
}

func (w *simulation) spawn() {
	w.spawned++
	m := hookhall.Member{ID: fmt.Sprintf("n%d#1", w.spawned), Instance: fmt.Sprintf("n%d", w.spawned), Hall: fmt.Sprintf("h%d", w.spawned%3)}
	nodeRetention := retention
	if w.mutant == noWait {
		nodeRetention = 0
	}
	w.nodes[m.ID] = &node{member: m, store: New(m.ID, nodeRetention)}
	w.nodeIDs = append(w.nodeIDs, m.ID)
	w.masterView = view.Join(w.masterView, m)
}

// randomLiveNode returns a random node that is not dead.
func (w *simulation) randomLiveNode() *node {
	for {
		if n := w.nodes[w.nodeIDs[w.rand.IntN(len(w.nodeIDs))]]; !n.dead {
			return n
		}
	}
}

// deadMember returns a dead node that is still in the view, nil for none.
func (w *simulation) deadMember() *node {
	for _, m := range w.masterView.Members {
		if n := w.nodes[m.ID]; n.dead {
			return n
		}
	}
	return nil
}

// canReach reports whether a and b can exchange messages; a node reaches itself unless
// it is dead or frozen.
func canReach(a, b *node) bool {
	return a == b && !a.dead && !a.frozen || !a.dead && !b.dead && !a.frozen && !b.frozen && !a.cut && !b.cut
}

// randomStep makes one random event happen.
func (w *simulation) randomStep() {
	switch choice := w.rand.IntN(1000); {
	case choice < 300:
		w.submit()
	case choice < 600:
		w.progress()
	case choice < 700:
		if n := w.randomLiveNode(); !n.frozen {
			n.store.Advance(w.masterView)
		}
	case choice < 900:
		w.repair(w.randomLiveNode())
	case choice < 915:
		w.randomLiveNode().frozen = true
	case choice < 930:
		w.randomLiveNode().cut = true
	case choice < 975:
		n := w.randomLiveNode()
		n.frozen, n.cut = false, false
	case choice < 982:
		w.kill()
	default:
		w.changeView()
	}
}

// kill ends a random node, or both members of a pair, and starts a new node for each. It
// does nothing while three nodes or fewer are alive.
func (w *simulation) kill() {
	aliveCount := 0
	for _, n := range w.nodes {
		if !n.dead {
			aliveCount++
		}
	}
	if aliveCount <= 3 {
		return
	}
	// Half of the time both members of a pair end at once, as when a rack fails.
	victims := []hookhall.Member{w.randomLiveNode().member}
	if w.rand.IntN(2) == 0 {
		slot := view.SlotOf(fmt.Sprintf("k%d", w.rand.IntN(keyCount)))
		victims = view.PairOf(w.masterView.Members, slot).Members()
	}
	for _, m := range victims {
		if n := w.nodes[m.ID]; !n.dead {
			n.dead = true
			w.spawn()
		}
	}
}

// changeView removes a dead, frozen or cut member from the view, or adds a live node
// that is not in the view. A removed node that is frozen or cut may still be running.
func (w *simulation) changeView() {
	n := w.deadMember()
	if n == nil {
		n = w.randomLiveNode()
	}
	if _, found := view.Find(w.masterView, n.member.ID); !found {
		if !n.dead {
			w.masterView = view.Join(w.masterView, n.member)
		}
		return
	}
	if len(w.masterView.Members) > 2 && (n.dead || n.frozen || n.cut) {
		w.masterView = view.Leave(w.masterView, n.member.ID, n.dead)
	}
}

// submit claims a random key through a random node, as a caller that retries does.
func (w *simulation) submit() {
	origin := w.randomLiveNode()
	if origin.dead || origin.frozen {
		return
	}
	key := fmt.Sprintf("k%d", w.rand.IntN(keyCount))
	w.usedSlots[view.SlotOf(key)] = true
	p := origin.store.Placement()
	pair := p.Pairs[view.SlotOf(key)]
	if pair.Owner == nil || !canReach(origin, w.nodes[pair.Owner.ID]) {
		return
	}
	owner := w.nodes[pair.Owner.ID]
	w.lastToken++
	q := hookhall.ClaimRequest{Epoch: p.View.Epoch, Key: key, Origin: origin.member.ID, Token: w.lastToken}
	reply, grant := owner.store.Begin(q, w.now)
	switch {
	case grant != nil:
		w.pending = append(w.pending, &pendingClaim{owner: owner, grant: grant})
	case reply.Outcome == hookhall.ClaimGranted:
		w.run(key)
	case reply.Outcome == hookhall.ClaimBehind && w.rand.IntN(2) == 0:
		exchangeViews(origin, owner)
	}
}

// run counts an execution of the request with the key.
func (w *simulation) run(key string) {
	w.grants++
	w.runsByKey[key]++
}

// progress copies or completes one pending claim, chosen at random.
func (w *simulation) progress() {
	if len(w.pending) == 0 {
		return
	}
	i := w.rand.IntN(len(w.pending))
	claim := w.pending[i]
	if claim.owner.frozen {
		return
	}
	if claim.owner.dead {
		w.dropPending(i)
		return
	}
	if !claim.copied {
		claim.copied = true
		standby := w.nodes[claim.grant.Standby.ID]
		if w.mutant == noStandby {
			claim.stored = true
		} else if canReach(claim.owner, standby) {
			claim.stored = standby.store.Copy(claim.grant.Epoch, claim.grant.Record, w.now).Stored && w.rand.IntN(10) > 0
			if !claim.stored && w.rand.IntN(2) == 0 {
				exchangeViews(claim.owner, standby)
			}
		}
		return
	}
	reply := claim.owner.store.Complete(claim.grant, claim.stored)
	if reply.Outcome == hookhall.ClaimGranted && w.rand.IntN(10) > 0 {
		w.run(claim.grant.Record.Key)
	}
	w.dropPending(i)
}

func (w *simulation) dropPending(i int) { w.pending = append(w.pending[:i], w.pending[i+1:]...) }

// exchangeViews advances two nodes that can reach each other to the newer of their views.
func exchangeViews(a, b *node) {
	if !canReach(a, b) {
		return
	}
	a.store.Advance(b.store.Placement().View)
	b.store.Advance(a.store.Placement().View)
}

// repair fetches missing records in rounds, as package fleet does, until a round changes
// nothing.
func (w *simulation) repair(n *node) {
	if n.dead || n.frozen {
		return
	}
	for before := -1; ; {
		checksum := 0
		for _, need := range n.store.Missing() {
			if w.usedSlots[need.Slot] {
				checksum += int(need.Epoch) + 1000
			}
		}
		if checksum == 0 || checksum == before {
			return
		}
		before = checksum
		w.fetch(n)
	}
}

// fetch requests the records of each missing epoch from the pair that served it, and
// reports epochs whose pair has ended to Lost.
func (w *simulation) fetch(n *node) {
	v := n.store.Placement().View
	for _, need := range n.store.Missing() {
		if !w.usedSlots[need.Slot] {
			continue // no key of the test is in this slot
		}
		members, ok := view.At(v, need.Epoch)
		if !ok {
			continue
		}
		pair := view.PairOf(members, need.Slot).Members()
		pairGone := true
		for _, m := range pair {
			source := w.nodes[m.ID]
			_, inView := view.Find(v, m.ID)
			for _, u := range v.Unfenced {
				inView = inView || u.ID == m.ID
			}
			pairGone = pairGone && !inView
			if source == n || !canReach(n, source) {
				continue
			}
			source.store.Advance(v)
			for _, records := range source.store.Records(v.Epoch, []uint32{need.Slot}).Slots {
				n.store.Merge(records)
			}
		}
		if pairGone {
			n.store.Lost(need, w.now)
		}
	}
}

// duplicateRuns returns the number of keys that ran more than once.
func (w *simulation) duplicateRuns() int {
	duplicates := 0
	for _, n := range w.runsByKey {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// runSchedules runs schedules, one per seed, until a key runs twice in one. It returns
// how many it ran, the total of grants, and whether a key ran twice.
func runSchedules(m mutant, schedules, steps int) (schedulesRun, grants int, duplicated bool) {
	for seed := 0; seed < schedules; seed++ {
		w := newSimulation(uint64(seed), m)
		for i := 0; i < steps; i++ {
			w.randomStep()
		}
		grants += w.grants
		if w.duplicateRuns() > 0 {
			return seed + 1, grants, true
		}
	}
	return schedules, grants, false
}

// TestSchedules guards against a key that runs twice after crashes, partitions, late
// messages and view changes in any order. Its schedules must also find a double run when
// the reply of the standby or the wait after a lost pair is left out, which shows that
// they reach these cases.
func TestSchedules(t *testing.T) {
	const schedules, steps = 60, 600
	Convey("Over random schedules of crashes, frozen and cut-off nodes and view changes", t, func() {
		Convey("no key runs twice", func() {
			schedulesRun, grants, duplicated := runSchedules(unmodified, schedules, steps)
			t.Logf("unmodified protocol: %d schedules, %d grants, duplicate run: %t", schedulesRun, grants, duplicated)
			So(duplicated, ShouldBeFalse)
			So(grants, ShouldBeGreaterThan, schedules)
		})
		for name, m := range map[string]mutant{"the standby's reply": noStandby, "the wait after a lost pair": noWait} {
			Convey("without "+name+" a key runs twice", func() {
				schedulesRun, grants, duplicated := runSchedules(m, schedules, steps)
				t.Logf("without %s: %d schedules, %d grants, duplicate run: %t", name, schedulesRun, grants, duplicated)
				So(duplicated, ShouldBeTrue)
			})
		}
	})
}
