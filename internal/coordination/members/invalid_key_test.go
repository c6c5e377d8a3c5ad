// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
)

// TestForeignKeys: a key that another writer left names no gateway, and takes the place of
// none; a gateway's own word brings it back.
func TestForeignKeys(t *testing.T) {
	const own = `{"id":"2","instance":"2","hall":"a","address":"10.0.0.2:1","power":0.5}`
	for name, value := range map[string]string{
		"nothing":        "",
		"no JSON":        "{",
		"another shape":  "[]",
		"no address":     `{"instance":"2"}`,
		"a name":         `{"instance":"2","address":"gateway:1"}`,
		"a number":       `{"instance":"2","address":7}`,
		"a huge power":   `{"instance":"2","address":"10.0.0.2:1","power":1e300}`,
		"power below 0":  `{"instance":"2","address":"10.0.0.2:1","power":-1}`,
		"power not read": `{"instance":"2","address":"10.0.0.2:1","power":1e400}`,
	} {
		t.Run(name, func(t *testing.T) {
			m := New(hookhall.Member{Instance: "1", Address: "10.0.0.1:1"}, nil, log.New(io.Discard))
			word := func(revision hookhall.Revision, value string) int {
				m.change([]hookhall.Item{{Key: prefix + "2", Value: []byte(value), Revision: revision}}, revision)
				return m.Count()
			}
			if n := word(2, value); n != 1 {
				t.Errorf("%d members", n)
			}
			if n := word(3, own); n != 2 {
				t.Errorf("%d members with a gateway's own word", n)
			}
			if n := word(4, value); n != 1 {
				t.Errorf("%d members after it was written over", n)
			}
			if n := word(5, own); n != 2 {
				t.Errorf("%d members with its own word again", n)
			}
			if o := m.Owner("work", nil, time.Now()); o.Address == "" {
				t.Error("the work has no owner")
			}
		})
	}
}
