// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package binding_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/binding"
)

var start = time.Unix(1_000_000, 0)

// bound returns a binding that expires after ttl.
func bound(call, version string, ttl time.Duration) binding.Binding {
	return binding.Binding{Key: binding.KeyOf("account", call), Service: "llm", Version: version, ExpiresAt: start.Add(ttl)}
}

// checkGet checks the version that a table has of a stream, "" for none.
func checkGet(t *testing.T, table *binding.Table, call, want string, now time.Time) {
	t.Helper()
	b, ok := table.Get(binding.KeyOf("account", call), now)
	if ok != (want != "") || b.Version != want && ok {
		t.Errorf("%s: version %q, known %v; want %q", call, b.Version, ok, want)
	}
}

func TestTable(t *testing.T) {
	t.Run("a binding lasts until it expires", func(t *testing.T) {
		var table binding.Table
		table.Put(bound("a", "v1", time.Second), start)
		checkGet(t, &table, "a", "v1", start)
		checkGet(t, &table, "a", "", start.Add(time.Second))
		checkGet(t, &table, "b", "", start)
	})
	t.Run("a later expiry counts", func(t *testing.T) {
		var table binding.Table
		table.Put(bound("a", "v1", time.Second), start)
		table.Put(bound("a", "v1", time.Minute), start)
		table.Put(bound("b", "v2", time.Minute), start.Add(2*time.Second))
		checkGet(t, &table, "a", "v1", start.Add(2*time.Second))
	})
	t.Run("a copy that is older does not shorten it", func(t *testing.T) {
		var table binding.Table
		table.Put(bound("a", "v1", time.Minute), start)
		table.Put(bound("a", "v1", time.Second), start)
		checkGet(t, &table, "a", "v1", start.Add(2*time.Second))
	})
	t.Run("a stream does not change its version", func(t *testing.T) {
		var table binding.Table
		table.Put(bound("a", "v1", time.Second), start)
		table.Put(bound("a", "v2", time.Minute), start)
		checkGet(t, &table, "a", "v1", start.Add(2*time.Second))
	})
	t.Run("expired bindings are dropped", func(t *testing.T) {
		var table binding.Table
		for i := range 100 {
			table.Put(bound(strconv.Itoa(i), "v1", time.Second), start)
		}
		table.Put(bound("late", "v1", time.Minute), start.Add(2*time.Second))
		if n := table.Len(); n != 1 {
			t.Errorf("%d bindings", n)
		}
		table.Put(bound("expired", "v1", time.Second), start.Add(2*time.Second))
		checkGet(t, &table, "expired", "", start)
	})
	t.Run("a full table drops the first", func(t *testing.T) {
		var table binding.Table
		for i := range binding.MaxBindings + 10 {
			table.Put(bound(strconv.Itoa(i), "v1", time.Minute), start)
		}
		checkGet(t, &table, "9", "", start)
		checkGet(t, &table, "10", "v1", start)
		if n := table.Len(); n != binding.MaxBindings {
			t.Errorf("%d bindings", n)
		}
	})
}

func TestKeysOfAccounts(t *testing.T) {
	if binding.KeyOf("a", "x") == binding.KeyOf("b", "x") {
		t.Error("two accounts have the same key for an id")
	}
}

func TestRank(t *testing.T) {
	var members []hookhall.Member
	for i := range 9 {
		members = append(members, hookhall.Member{Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	first := map[string]int{}
	for i := range 900 {
		key := binding.KeyOf("account", strconv.Itoa(i))
		ranked := binding.Rank(key, members)
		first[ranked[0].Address]++
		without := binding.Rank(key, slices.DeleteFunc(slices.Clone(members), func(m hookhall.Member) bool { return m == ranked[0] }))
		if !slices.Equal(without, ranked[1:]) {
			t.Fatal("a member that leaves changes the order of the others")
		}
	}
	for address, n := range first {
		if n < 50 || n > 200 {
			t.Errorf("%s holds %d of 900", address, n)
		}
	}
}

// listed returns a set of versions.
func listed(versions ...string) map[string]bool {
	set := map[string]bool{}
	for _, version := range versions {
		set[version] = true
	}
	return set
}

func TestHistory(t *testing.T) {
	const window = 10 * time.Second
	type list struct {
		after    time.Duration
		versions []string
	}
	for name, c := range map[string]struct {
		lists    []list
		at       time.Duration
		versions []string
		reach    time.Duration
	}{
		"nothing listed":                  {nil, time.Minute, nil, 0},
		"one version for long":            {[]list{{0, []string{"v1"}}}, 10 * time.Second, []string{"v1"}, window},
		"one version, not for long":       {[]list{{0, []string{"v1"}}}, 9 * time.Second, []string{"v1"}, 9 * time.Second},
		"two versions":                    {[]list{{0, []string{"v2", "v1"}}}, time.Minute, []string{"v1", "v2"}, window},
		"another version has left":        {[]list{{0, []string{"v1", "v2"}}, {20 * time.Second, []string{"v2"}}}, 29 * time.Second, []string{"v1", "v2"}, window},
		"another version left long ago":   {[]list{{0, []string{"v1", "v2"}}, {20 * time.Second, []string{"v2"}}}, 31 * time.Second, []string{"v2"}, window},
		"one version replaced another":    {[]list{{0, []string{"v1"}}, {20 * time.Second, []string{"v2"}}}, 25 * time.Second, []string{"v1", "v2"}, window},
		"the version has left":            {[]list{{0, []string{"v1"}}, {20 * time.Second, nil}}, 25 * time.Second, []string{"v1"}, window},
		"a version came back":             {[]list{{0, []string{"v1"}}, {20 * time.Second, nil}, {25 * time.Second, []string{"v1"}}}, 40 * time.Second, []string{"v1"}, window},
		"another version was there short": {[]list{{0, []string{"v1"}}, {20 * time.Second, []string{"v1", "v2"}}, {21 * time.Second, []string{"v1"}}}, 30 * time.Second, []string{"v1", "v2"}, window},
	} {
		t.Run(name, func(t *testing.T) {
			var h binding.History
			for _, l := range c.lists {
				h.Observe("llm", listed(l.versions...), start.Add(l.after))
			}
			if versions, reach := h.Within("llm", window, start.Add(c.at)); !slices.Equal(versions, c.versions) || reach != c.reach {
				t.Errorf("versions %q within %v, want %q within %v", versions, reach, c.versions, c.reach)
			}
			if mixed := h.Mixed("llm", window, start.Add(c.at)); mixed != (len(c.versions) > 1) {
				t.Errorf("mixed %v", mixed)
			}
		})
	}
}
