// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
)

// TestSendsAreBounded guards against a gateway that sends an update to the whole fleet because its
// peers do not answer in time, which makes it one of those that do not.
func TestSendsAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		gateways int
		answers  bool
		want     int64
	}{
		"all answer":                    {986, true, fanOut},
		"none answers in a large fleet": {986, false, maxSends},
		"none answers in a small fleet": {20, false, 19},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := newFixedPeers(c.gateways)
				slices.SortFunc(peers.list, func(a, b hookhall.Member) int { return strings.Compare(a.Address, b.Address) })
				b := &Broadcaster{Peers: peers, Clients: NewClients(log.New(io.Discard))}
				var sends atomic.Int64
				b.sendToSubtree(peers.Self().Address, 0, func(string, int) bool {
					sends.Add(1)
					time.Sleep(sendTimeout)
					return c.answers
				})
				time.Sleep(time.Minute)
				synctest.Wait()
				if sends.Load() != c.want {
					t.Errorf("sent to %d peers, not %d", sends.Load(), c.want)
				}
			})
		})
	}
}
