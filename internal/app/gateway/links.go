// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"time"
)

// closeIdle closes the idle connections to an address, or all if it is "".
func (g *Gateway) closeIdle(address string) {
	if address == "" {
		g.adapters.Connections.CloseAllIdle()
		return
	}
	g.adapters.Connections.CloseIdle(address)
}

// setIsolated passes the ownership of shared work on while this gateway can't connect to targets,
// and until cutOffHold after that.
func (g *Gateway) setIsolated(isolated bool) {
	if isolated {
		go g.members.SetCutOff(context.Background(), true)
		return
	}
	time.AfterFunc(cutOffHold, func() {
		if !g.paths.Table.Isolated() {
			g.members.SetCutOff(context.Background(), false)
		}
	})
}
