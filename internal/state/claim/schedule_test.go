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
// key-value service that holds the view. Time passes with each step. A schedule fails when a key
// runs twice within the retention.
type simulation struct {
	rand       *rand.Rand
	now        time.Time
	masterView *hookhall.View
	nodes      map[string]*node
	nodeIDs    []string
	pending    []*pendingClaim
	// openedByKey has when the latest claim of a key that ran was opened, duplicates the keys that
	// another claim ran within the retention.
	openedByKey map[string]time.Time
	duplicates  map[string]bool
	waitsEnded  int // for a lost pair
	lastToken   uint64
	spawned     int
	mutant      mutant
	grants      int
	usedSlots   map[uint32]bool
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
	// noStandby grants without a copy at the standby.
	noStandby
	// noWait takes an epoch for complete as soon as its pair is lost.
	noWait
)

const (
	retention = time.Hour
	// maxStepTime is the longest time between two steps; a schedule lasts several retentions.
	maxStepTime = retention / 200
	// requestTime is how long a claim may take. Later its origin has given up.
	requestTime = retention / 20
	// keyCount is small, so that each key is claimed many times.
	keyCount = 24
)

// newSimulation returns a simulation of five nodes that are all in the view.
func newSimulation(seed uint64, m mutant) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1e9, 0), masterView: &hookhall.View{},
		nodes: map[string]*node{}, openedByKey: map[string]time.Time{}, duplicates: map[string]bool{}, usedSlots: map[uint32]bool{}, mutant: m}
	for i := 0; i < 5; i++ {
		s.spawn()
	}
	for _, n := range s.nodes {
		n.store.Advance(s.masterView)
	}
	return s
}

// spawn starts a node and adds it to the view.
func (s *simulation) spawn() {
	s.spawned++
	m := hookhall.Member{ID: fmt.Sprintf("n%d#1", s.spawned), Instance: fmt.Sprintf("n%d", s.spawned), Hall: fmt.Sprintf("h%d", s.spawned%3)}
	s.nodes[m.ID] = &node{member: m, store: New(m.ID, retention)}
	s.nodeIDs = append(s.nodeIDs, m.ID)
	s.masterView = view.Join(s.masterView, m)
}

// randomLiveNode returns a random node that is not dead.
func (s *simulation) randomLiveNode() *node {
	for {
		if n := s.nodes[s.nodeIDs[s.rand.IntN(len(s.nodeIDs))]]; !n.dead {
			return n
		}
	}
}

// deadMember returns a dead node that is still in the view, nil for none.
func (s *simulation) deadMember() *node {
	for _, m := range s.masterView.Members {
		if n := s.nodes[m.ID]; n.dead {
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
func (s *simulation) randomStep() {
	s.now = s.now.Add(time.Duration(s.rand.Int64N(int64(maxStepTime))))
	switch choice := s.rand.IntN(1000); {
	case choice < 300:
		s.submit()
	case choice < 600:
		s.progress()
	case choice < 700:
		if n := s.randomLiveNode(); !n.frozen {
			n.store.Advance(s.masterView)
		}
	case choice < 900:
		s.repair(s.randomLiveNode())
	case choice < 915:
		s.randomLiveNode().frozen = true
	case choice < 930:
		s.randomLiveNode().cut = true
	case choice < 975:
		n := s.randomLiveNode()
		n.frozen, n.cut = false, false
	case choice < 982:
		s.kill()
	default:
		s.changeView()
	}
}

// kill ends a random node, or both members of a pair, and starts a new node for each. It
// does nothing while three nodes or fewer are alive.
func (s *simulation) kill() {
	aliveCount := 0
	for _, n := range s.nodes {
		if !n.dead {
			aliveCount++
		}
	}
	if aliveCount <= 3 {
		return
	}
	// Half of the time both members of a pair end at once, as when a rack fails.
	victims := []hookhall.Member{s.randomLiveNode().member}
	if s.rand.IntN(2) == 0 {
		slot := view.SlotOf(fmt.Sprintf("k%d", s.rand.IntN(keyCount)))
		victims = view.PairOf(s.masterView.Members, slot).Members()
	}
	for _, m := range victims {
		if n := s.nodes[m.ID]; !n.dead {
			n.dead = true
			s.spawn()
		}
	}
}

// changeView removes a dead, frozen or cut member from the view, or adds a live node
// that is not in the view. A removed node that is frozen or cut may still be running.
func (s *simulation) changeView() {
	n := s.deadMember()
	if n == nil {
		n = s.randomLiveNode()
	}
	if _, found := view.Find(s.masterView, n.member.ID); !found {
		if !n.dead {
			s.masterView = view.Join(s.masterView, n.member)
		}
		return
	}
	if len(s.masterView.Members) > 2 && (n.dead || n.frozen || n.cut) {
		s.masterView = view.Leave(s.masterView, n.member.ID, n.dead)
	}
}

// submit claims a random key through a random node, as a caller that retries does.
func (s *simulation) submit() {
	origin := s.randomLiveNode()
	if origin.dead || origin.frozen {
		return
	}
	key := fmt.Sprintf("k%d", s.rand.IntN(keyCount))
	s.usedSlots[view.SlotOf(key)] = true
	p := origin.store.Placement()
	pair := p.Pairs[view.SlotOf(key)]
	if pair.Owner == nil || !canReach(origin, s.nodes[pair.Owner.ID]) {
		return
	}
	owner := s.nodes[pair.Owner.ID]
	s.lastToken++
	request := hookhall.ClaimRequest{Epoch: p.View.Epoch, Key: key, Origin: origin.member.ID, Token: s.lastToken}
	reply, grant := owner.store.Begin(request, s.now)
	switch {
	case grant != nil:
		s.pending = append(s.pending, &pendingClaim{owner: owner, grant: grant})
	case reply.Outcome == hookhall.ClaimGranted:
		s.run(reply.Record)
	case reply.Outcome == hookhall.ClaimBehind && s.rand.IntN(2) == 0:
		exchangeViews(origin, owner)
	}
}

// run counts an execution of the request whose claim has the record.
func (s *simulation) run(r hookhall.Record) {
	opened := r.Expires.Add(-retention)
	if s.now.Sub(opened) > requestTime {
		return
	}
	s.grants++
	if before, found := s.openedByKey[r.Key]; found && opened.Sub(before).Abs() < retention {
		s.duplicates[r.Key] = true
	}
	s.openedByKey[r.Key] = opened
}

// progress copies or completes one pending claim, chosen at random.
func (s *simulation) progress() {
	if len(s.pending) == 0 {
		return
	}
	i := s.rand.IntN(len(s.pending))
	claim := s.pending[i]
	if claim.owner.frozen {
		return
	}
	if claim.owner.dead {
		s.dropPending(i)
		return
	}
	if !claim.copied {
		claim.copied = true
		standby := s.nodes[claim.grant.Standby.ID]
		if s.mutant == noStandby {
			claim.stored = true
		} else if canReach(claim.owner, standby) {
			claim.stored = standby.store.Copy(claim.grant.Epoch, claim.grant.Record, s.now).Stored && s.rand.IntN(10) > 0
			if !claim.stored && s.rand.IntN(2) == 0 {
				exchangeViews(claim.owner, standby)
			}
		}
		return
	}
	reply := claim.owner.store.Complete(claim.grant, claim.stored)
	if reply.Outcome == hookhall.ClaimGranted && s.rand.IntN(10) > 0 {
		s.run(reply.Record)
	}
	s.dropPending(i)
}

func (s *simulation) dropPending(i int) { s.pending = append(s.pending[:i], s.pending[i+1:]...) }

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
func (s *simulation) repair(n *node) {
	if n.dead || n.frozen {
		return
	}
	for before := -1; ; {
		checksum := 0
		for _, missing := range n.store.MissingEpochs() {
			if s.usedSlots[missing.Slot] {
				checksum += int(missing.Epoch) + 1000
			}
		}
		if checksum == 0 || checksum == before {
			return
		}
		before = checksum
		s.fetch(n)
	}
}

// fetch requests the records of each missing epoch from the pair that served it, and
// reports the epochs whose pair has ended to the store.
func (s *simulation) fetch(n *node) {
	v := n.store.Placement().View
	for _, missing := range n.store.MissingEpochs() {
		if !s.usedSlots[missing.Slot] {
			continue // no key of the test is in this slot
		}
		members, ok := view.MembersAt(v, missing.Epoch)
		if !ok {
			continue
		}
		pair := view.PairOf(members, missing.Slot).Members()
		pairGone := true
		for _, m := range pair {
			source := s.nodes[m.ID]
			_, inView := view.Find(v, m.ID)
			for _, u := range v.Unfenced {
				inView = inView || u.ID == m.ID
			}
			pairGone = pairGone && !inView
			if source == n || !canReach(n, source) {
				continue
			}
			source.store.Advance(v)
			for _, records := range source.store.Records(v.Epoch, []uint32{missing.Slot}).Slots {
				n.store.Merge(records)
			}
		}
		if pairGone {
			if n.store.MarkPairLost(missing, s.now) {
				s.waitsEnded++
			}
			if s.mutant == noWait {
				n.store.MarkPairLost(missing, s.now.Add(2*retention))
			}
		}
	}
}

// runSchedules runs schedules, one per seed, until a key runs twice in one. It returns
// how many it ran, the totals of grants and of waits for a lost pair that ended, and whether a key
// ran twice.
func runSchedules(m mutant, schedules, steps int) (schedulesRun, grants, waitsEnded int, duplicated bool) {
	for seed := 0; seed < schedules; seed++ {
		s := newSimulation(uint64(seed), m)
		for i := 0; i < steps; i++ {
			s.randomStep()
		}
		grants += s.grants
		waitsEnded += s.waitsEnded
		if len(s.duplicates) > 0 {
			return seed + 1, grants, waitsEnded, true
		}
	}
	return schedules, grants, waitsEnded, false
}

// TestSchedules guards against a key that runs twice after crashes, partitions, late
// messages and view changes in any order. Its schedules must also find a double run when
// the reply of the standby or the wait after a lost pair is left out, which shows that
// they reach these cases.
func TestSchedules(t *testing.T) {
	const schedules, steps = 60, 600
	Convey("Over random schedules of crashes, frozen and cut-off nodes and view changes", t, func() {
		Convey("no key runs twice", func() {
			schedulesRun, grants, waitsEnded, duplicated := runSchedules(unmodified, schedules, steps)
			t.Logf("unmodified protocol: %d schedules, %d grants, %d ended waits, duplicate run: %t", schedulesRun, grants, waitsEnded, duplicated)
			So(duplicated, ShouldBeFalse)
			So(waitsEnded, ShouldBeGreaterThan, 0)
			So(grants, ShouldBeGreaterThan, schedules)
		})
		for name, m := range map[string]mutant{"the standby's reply": noStandby, "the wait after a lost pair": noWait} {
			Convey("without "+name+" a key runs twice", func() {
				schedulesRun, grants, _, duplicated := runSchedules(m, schedules, steps)
				t.Logf("without %s: %d schedules, %d grants, duplicate run: %t", name, schedulesRun, grants, duplicated)
				So(duplicated, ShouldBeTrue)
			})
		}
	})
}
