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

// TestInvalidKeys guards against keys that another program has written: an invalid record is
// listed as no member and removes the member whose key it overwrites, until that member
// writes its own record again.
func TestInvalidKeys(t *testing.T) {
	const own = `{"id":"2","instance":"2","hall":"a","address":"10.0.0.2:1","power":0.5}`
	for name, value := range map[string]string{
		"empty value":                        "",
		"invalid JSON":                       "{",
		"JSON of another type":               "[]",
		"no address":                         `{"instance":"2"}`,
		"a host name as address":             `{"instance":"2","address":"gateway:1"}`,
		"a number as address":                `{"instance":"2","address":7}`,
		"power too large":                    `{"instance":"2","address":"10.0.0.2:1","power":1e300}`,
		"negative power":                     `{"instance":"2","address":"10.0.0.2:1","power":-1}`,
		"power outside the range of numbers": `{"instance":"2","address":"10.0.0.2:1","power":1e400}`,
	} {
		t.Run(name, func(t *testing.T) {
			m := New(hookhall.Member{Instance: "1", Address: "10.0.0.1:1"}, nil, log.New(io.Discard))
			apply := func(revision hookhall.Revision, value string) int {
				m.applyEvents([]hookhall.Item{{Key: keyPrefix + "2", Value: []byte(value), Revision: revision}}, revision)
				return m.Count()
			}
			if n := apply(2, value); n != 1 {
				t.Errorf("%d members", n)
			}
			if n := apply(3, own); n != 2 {
				t.Errorf("%d members with the gateway's own record", n)
			}
			if n := apply(4, value); n != 1 {
				t.Errorf("%d members after the record was overwritten", n)
			}
			if n := apply(5, own); n != 2 {
				t.Errorf("%d members with its own record again", n)
			}
			if o := m.Owner("work", nil, time.Now()); o.Address == "" {
				t.Error("the work has no owner")
			}
		})
	}
}
