// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

// revisionIn returns a revision of an era.
func revisionIn(era, count uint64) hookhall.Revision {
	r, err := hookhall.NewRevision(era, count)
	if err != nil {
		panic(err) // the tests use valid numbers only
	}
	return r
}

// learnTable applies a table of a version, read now at a revision.
func learnTable(c *Catalog, version int64, at hookhall.Revision) {
	value, err := json.Marshal(hookhall.Routing{Version: version})
	if err != nil {
		panic(err) // a struct of numbers always marshals
	}
	c.ApplyTable(value, at, "store", time.Now())
}

// quietCatalog returns a catalog that logs nothing.
func quietCatalog() *Catalog { return New(newFakeStore(), fakeSchema{}, log.New(io.Discard)) }

// TestRestoredTable checks that a table of a later era is applied unless it is older than the one
// in force, whatever the counts of the revisions.
func TestRestoredTable(t *testing.T) {
	for name, c := range map[string]struct {
		version int64
		at      hookhall.Revision
		want    int64
	}{
		"the same table, at an earlier count": {7, revisionIn(2, 3), 7},
		"a later table, at an earlier count":  {8, revisionIn(2, 3), 8},
		"the copy's older table":              {6, revisionIn(2, 90), 7},
		"an older era's later table":          {9, revisionIn(0, 200), 7},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := quietCatalog()
			learnTable(catalog, 7, revisionIn(1, 100))
			learnTable(catalog, c.version, c.at)
			if v := catalog.Table().Version(); v != c.want {
				t.Errorf("version %d, want %d", v, c.want)
			}
			learnTable(catalog, 9, revisionIn(2, 95))
			if v := catalog.Table().Version(); v != 9 {
				t.Errorf("version %d after operators wrote 9", v)
			}
		})
	}
}

// TestRestoredAge checks that reading an older table after a restore confirms the one in force, as
// the store has nothing newer; otherwise processes would keep reading the store.
func TestRestoredAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quietCatalog()
		learnTable(c, 7, revisionIn(1, 100))
		time.Sleep(time.Minute)
		learnTable(c, 6, revisionIn(2, 90))
		if _, age := c.TableAge(time.Now()); age != 0 {
			t.Errorf("the table is %s old", age)
		}
	})
}

// TestRestoredTargets checks that a restored copy changes a target's state only where it is newer.
func TestRestoredTargets(t *testing.T) {
	type observation struct {
		at    hookhall.Revision
		value string // "" for a reading without the target
	}
	for name, c := range map[string]struct {
		observations []observation
		want         bool // the target is usable
	}{
		"listed in both":                       {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(2, 4), "born 5 ready"}}, true},
		"leaving since the copy":               {[]observation{{revisionIn(1, 10), "born 5 leaving"}, {revisionIn(2, 4), "born 5 ready"}}, false},
		"gone since the copy":                  {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(1, 11), ""}, {revisionIn(2, 4), "born 5 ready"}}, false},
		"gone since, and written again":        {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(1, 11), ""}, {revisionIn(2, 4), "born 5 ready"}, {revisionIn(2, 9), "born 5 ready"}}, true},
		"gone since, and back after a restart": {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(1, 11), ""}, {revisionIn(2, 4), "born 9 ready"}}, true},
		"restarted and left since the copy":    {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(1, 11), "born 9 leaving"}, {revisionIn(2, 4), "born 5 ready"}}, false},
		"started since the copy":               {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(2, 4), ""}}, true},
		"a delayed answer of the earlier era":  {[]observation{{revisionIn(1, 10), "born 5 ready"}, {revisionIn(2, 4), "born 5 leaving"}, {revisionIn(1, 11), "born 5 ready"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			catalog := quietCatalog()
			for _, s := range c.observations {
				r := Reading{Revision: s.at, Began: time.Now()}
				if s.value != "" {
					r.Items = []hookhall.Item{targetItem(s.at, s.value)}
				}
				catalog.ApplyReading(r, "store")
			}
			if listed, _ := targetStatus(catalog); listed != c.want {
				t.Errorf("usable: %v", listed)
			}
		})
	}
}

// TestRestoredTargetsAfterUpdate guards against a target that has left and is used again, since a
// peer's update showed the new era before this process read the restored copy itself.
func TestRestoredTargetsAfterUpdate(t *testing.T) {
	c := quietCatalog()
	read := func(at hookhall.Revision, items ...hookhall.Item) {
		c.ApplyReading(Reading{Revision: at, Items: items, Began: time.Now()}, "store")
	}
	read(revisionIn(1, 10), targetItem(revisionIn(1, 10), "born 5 ready"))
	read(revisionIn(1, 11))
	if fresh, gap := c.ApplyUpdate(Update{Revision: revisionIn(2, 4), Began: time.Now()}, "peer"); !fresh || gap {
		t.Fatalf("update applied: %v, with a gap: %v", fresh, gap)
	}
	read(revisionIn(2, 4), targetItem(revisionIn(2, 4), "born 5 ready"))
	if listed, _ := targetStatus(c); listed {
		t.Error("the copy's target is usable")
	}
	read(revisionIn(2, 9), targetItem(revisionIn(2, 9), "born 5 ready"))
	if listed, _ := targetStatus(c); !listed {
		t.Error("the target is not usable after it has written its key again")
	}
}

// TestRestoredHalls checks that evacuated halls stay so until operators have had the time to write
// the evacuation again, or have readmitted them.
func TestRestoredHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quietCatalog()
		expectHalls := func(when string, want ...string) {
			t.Helper()
			if got := c.Halls().Evacuated; !slices.Equal(got, want) {
				t.Errorf("%s: %v, want %v", when, got, want)
			}
		}
		c.ApplyHalls(Halls{Revision: revisionIn(1, 10), Evacuated: []string{"north", "south"}}, "store")
		c.ApplyHalls(Halls{Revision: revisionIn(2, 4), Evacuated: []string{"south"}}, "store")
		expectHalls("the copy lacks one", "north", "south")
		c.applyHallEvents([]hookhall.Item{{Key: "op/out/south", Revision: revisionIn(2, 5), Deleted: true}}, revisionIn(2, 5))
		expectHalls("operators readmit one", "north")
		time.Sleep(evacuationHoldTime + time.Millisecond)
		c.applyHallEvents(nil, revisionIn(2, 5))
		expectHalls("operators have not written the other again")
	})
}

// TestRestoresInAnyOrder draws schedules of two restores, changes by operators and of a target,
// and readings by three gateways whose answers arrive late and in any order. No gateway returns
// to an older table or uses a target in an incarnation that it knows has left, and all agree
// with the store once what it lacks is written again.
func TestRestoresInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type state struct {
			version int64
			born    int
			leaving bool
		}
		type answer struct {
			at    hookhall.Revision // of the store
			state state
			wrote [2]hookhall.Revision // of the table and the target
		}
		latest := state{version: 1, born: 1} // as last written, whether the store has it or not
		stored, copied := latest, latest
		era, count, copiedCount := uint64(1), uint64(2), uint64(2)
		wrote := [2]hookhall.Revision{revisionIn(1, 1), revisionIn(1, 2)}
		copiedWrote := wrote
		catalogs := []*Catalog{quietCatalog(), quietCatalog(), quietCatalog()}
		pending := make([][]answer, len(catalogs)) // answers that have not arrived, by gateway
		versions := make([]int64, len(catalogs))
		left := make([]int, len(catalogs)) // the latest incarnation that a gateway knows has left
		read := func(i int) { pending[i] = append(pending[i], answer{revisionIn(era, count), stored, wrote}) }
		deliver := func(i int, a answer) {
			c := catalogs[i]
			learnTable(c, a.state.version, a.wrote[0])
			value := fmt.Sprintf("born %d ready", a.state.born)
			if a.state.leaving {
				value = fmt.Sprintf("born %d leaving", a.state.born)
			}
			newer := c.ApplyReading(Reading{Revision: a.at, Items: []hookhall.Item{targetItem(a.wrote[1], value)}, Began: time.Now()}, "store")
			if newer && a.state.leaving {
				left[i] = max(left[i], a.state.born)
			}
			if v := c.Table().Version(); v < versions[i] {
				t.Fatalf("gateway %d returned from table %d to %d", i, versions[i], v)
			}
			versions[i] = c.Table().Version()
			for _, target := range c.Targets("pool") {
				if int(target.Start) <= left[i] {
					t.Fatalf("gateway %d uses incarnation %d, and knows that %d has left", i, target.Start, left[i])
				}
			}
		}
		change := func() {
			count++
			stored = latest
			wrote = [2]hookhall.Revision{revisionIn(era, count), revisionIn(era, count)}
		}
		restores := 0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				latest.version++
				change()
			case 1:
				latest.leaving = true
				change()
			case 2:
				latest.born, latest.leaving = latest.born+1, false
				change()
			case 3:
				copied, copiedCount, copiedWrote = stored, count, wrote
			case 4:
				if restores < 2 && rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
					restores++
					era++
					stored, count = copied, copiedCount
					wrote = [2]hookhall.Revision{revisionIn(era, copiedWrote[0].Count()), revisionIn(era, copiedWrote[1].Count())}
				}
			case 5:
				change() // written again
			default:
				i := rapid.IntRange(0, len(catalogs)-1).Draw(t, "gateway")
				if len(pending[i]) > 0 && rapid.Bool().Draw(t, "answered") {
					n := rapid.IntRange(0, len(pending[i])-1).Draw(t, "answer")
					a := pending[i][n]
					pending[i] = slices.Delete(pending[i], n, n+1)
					deliver(i, a)
				} else {
					read(i)
				}
			}
		}
		change()
		for i := range catalogs {
			read(i)
			for _, a := range pending[i] {
				deliver(i, a)
			}
			if v := catalogs[i].Table().Version(); v != latest.version {
				t.Fatalf("gateway %d has table %d, and the store %d", i, v, latest.version)
			}
			if listed, _ := targetStatus(catalogs[i]); listed == latest.leaving {
				t.Fatalf("gateway %d uses the target: %v, but the target is leaving: %v", i, listed, latest.leaving)
			}
		}
	})
}
