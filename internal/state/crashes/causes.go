// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minServedRefusal is how long a part that targets have served is refused after its last crash.
	// Each further crash doubles that, up to maxServedRefusal.
	minServedRefusal = 5 * time.Second
	maxServedRefusal = 10 * time.Minute
)

// servedRefusalTime returns how long a part that targets have served is refused after its last crash.
// Targets may have crashed with it for other reasons, and once it is refused none can show that.
func servedRefusalTime(furtherCrashes int) time.Duration {
	d := minServedRefusal
	for range furtherCrashes {
		if d *= 2; d >= maxServedRefusal {
			return maxServedRefusal
		}
	}
	return d
}

// group is the parts that were present at the same crashes.
type group struct {
	parts        []Part
	content      *content // of the first part
	incarnations map[hookhall.Incarnation]bool
	served       bool // a target has served the first part, shortly before a crash or since
}

// groups returns the parts with enough crashes to be refused, the most likely causes first: parts that
// no target has served, and of these the ones with the fewest crashes, since a part that many requests
// have was present at the crashes of several others. l.mu must be held.
func (l *Ledger) groups() []*group {
	bySignature := map[string]*group{}
	for d := range l.refused {
		c := l.contents[d]
		incarnations := c.incarnations()
		signature := incarnationList(incarnations)
		g := bySignature[signature]
		if g == nil {
			g = &group{incarnations: incarnations}
			bySignature[signature] = g
		}
		g.parts = append(g.parts, Part{d, c.partID()})
	}
	list := slices.Collect(maps.Values(bySignature))
	for _, g := range list {
		slices.SortFunc(g.parts, compareParts)
		g.content = l.contents[g.parts[0].Digest]
		g.served = g.content.served()
	}
	slices.SortFunc(list, func(a, b *group) int {
		switch {
		case a.served && !b.served:
			return 1
		case b.served && !a.served:
			return -1
		}
		return cmp.Or(cmp.Compare(len(a.incarnations), len(b.incarnations)), compareParts(a.parts[0], b.parts[0]))
	})
	return list
}

// compareParts compares two parts by their digests.
func compareParts(a, b Part) int { return bytes.Compare(a.Digest[:], b.Digest[:]) }

// incarnationList returns a text that is the same for equal sets only.
func incarnationList(set map[hookhall.Incarnation]bool) string {
	list := slices.SortedFunc(maps.Keys(set), func(a, b hookhall.Incarnation) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
	})
	var b []byte
	for _, incarnation := range list {
		b = strconv.AppendInt(strconv.AppendQuote(b, incarnation.ID), incarnation.Start, 10)
	}
	return string(b)
}

// containsAll reports whether set contains all elements of subset.
func containsAll(set, subset map[hookhall.Incarnation]bool) bool {
	if len(subset) > len(set) {
		return false
	}
	for incarnation := range subset {
		if !set[incarnation] {
			return false
		}
	}
	return true
}

const (
	// minSuspectCrashes is how many crashes make a part that no target has served a likelier cause of
	// these than parts that were served. With one it may only have been there.
	minSuspectCrashes = 2
	// suspectedCrashes is how many crashes with such a part count as one for a part that was served.
	// Several faulty parts, each with too few crashes for a refusal, were taken for a fault of the part
	// that all requests share. They still count, since a part that was served may have become faulty.
	suspectedCrashes = 3
)

// suspected returns the targets that crashed with a part that no target has served and that has
// minSuspectCrashes. l.mu must be held.
func (l *Ledger) suspected() map[hookhall.Incarnation]bool {
	set := map[hookhall.Incarnation]bool{}
	for _, c := range l.contents {
		if len(c.crashes) >= minSuspectCrashes && !c.served() && l.count(c, func(*Crash) bool { return true }) >= minSuspectCrashes {
			maps.Copy(set, c.incarnations())
		}
	}
	return set
}

// minOtherVersionCrashes is how many crashes at some software have a part refused there, if those at all
// software together are as many more than a refusal needs. With one, a crash of another kind at a second
// version had the part refused at all targets; counted for each version alone, a faulty part would crash
// more targets before its refusal than the platform allows.
const minOtherVersionCrashes = 2

// convictedAt returns the software at which the parts of g are refused, none if count, which counts the
// crashes that hold against them, finds too few of them. l.mu must be held.
func (l *Ledger) convictedAt(g *group, needed int, count func(chosen func(*Crash) bool) int) []string {
	all := count(func(*Crash) bool { return true })
	var list []string
	for _, software := range l.refused[g.parts[0].Digest].Software {
		n := count(func(c *Crash) bool { return c.Software == software })
		if n >= needed || n >= minOtherVersionCrashes && all >= needed+minOtherVersionCrashes {
			list = append(list, software)
		}
	}
	return list
}

// incarnations returns the targets that crashed, without cleared crashes. The ledger's mu must be held.
func (c *content) incarnations() map[hookhall.Incarnation]bool {
	set := map[hookhall.Incarnation]bool{}
	for _, crash := range c.crashes {
		if !crash.Cleared {
			set[crash.Incarnation] = true
		}
	}
	return set
}

// accounts returns the accounts of the crashes that are not cleared, sorted. The ledger's mu must be
// held.
func (c *content) accounts() []string {
	var list []string
	for _, crash := range c.crashes {
		if !crash.Cleared && !slices.Contains(list, crash.Account) {
			list = append(list, crash.Account)
		}
	}
	slices.Sort(list)
	return list
}

// served reports whether a target has served the part, shortly before a crash or since. The ledger's
// mu must be held.
func (c *content) served() bool {
	for _, crash := range c.crashes {
		if crash.Cleared || crash.RecentlyServed {
			return true
		}
	}
	return false
}

// lastReported returns the time of the last crash that is not cleared. The ledger's mu must be held.
func (c *content) lastReported() time.Time {
	var last time.Time
	for _, crash := range c.crashes {
		if !crash.Cleared && crash.ReportedAt.After(last) {
			last = crash.ReportedAt
		}
	}
	return last
}

// partID returns the ID of the part whose crashes c holds. The ledger's mu must be held.
func (c *content) partID() string {
	for _, crash := range c.crashes {
		return crash.Part
	}
	return ""
}
