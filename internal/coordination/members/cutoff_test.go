// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// TestCutOffOwnership guards against roles of processes that can't connect to targets, as long as
// there is one that can, even if most can't.
func TestCutOffOwnership(t *testing.T) {
	now := time.Now()
	for _, cutOff := range []int{1, 3, 4} {
		t.Run(fmt.Sprintf("%d of 4 cut off", cutOff), func(t *testing.T) {
			m := membersWithCapacities(1, 1, 1, 1)
			s := &keyStore{values: map[string]hookhall.Member{}}
			m.store = s
			m.lease.Store(&hookhall.Lease{Number: 7})
			m.SetCutOff(t.Context(), true)
			if !s.values[keyPrefix+member(1).Instance].CutOff {
				t.Error("the key does not state it")
			}
			for n := 2; n <= cutOff; n++ {
				o := member(n)
				o.CutOff = true
				m.applyEvents([]hookhall.Item{memberItem(o, 9)}, 9)
			}
			first := cutOff + 1
			if cutOff == 4 {
				first = 1
			}
			wantOwners(t, m, now, first, 4)
			m.SetCutOff(t.Context(), false)
			if s.values[keyPrefix+member(1).Instance].CutOff || keysPerOwner(m, now)[m.self.Address] == 0 {
				t.Error("it owns nothing after its return")
			}
		})
	}
	t.Run("the key is written with the next renewal after an outage", func(t *testing.T) {
		m := membersWithCapacities(1, 1)
		s := &keyStore{values: map[string]hookhall.Member{}, unavailable: true}
		m.store = s
		m.lease.Store(&hookhall.Lease{Number: 7})
		m.SetCutOff(t.Context(), true)
		s.unavailable = false
		if err := m.renew(t.Context()); err != nil || !s.values[keyPrefix+member(1).Instance].CutOff {
			t.Errorf("%v, %v", err, s.values)
		}
	})
}
