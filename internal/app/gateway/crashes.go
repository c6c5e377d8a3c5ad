// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// RefusedContent is a content that is refused since targets ended while they ran it.
type RefusedContent struct {
	Content string `json:"content"` // digest, as in the log
	Account string `json:"account,omitempty"`
	AgeMS   int64  `json:"age_ms"` // since the first end was reported
	// Software is what ended, by service and version, and Targets the targets, each
	// once for each life.
	Software []string `json:"software"`
	Targets  []string `json:"targets"`
}

// refusedContents lists them, sorted by content.
func (g *Gateway) refusedContents(now time.Time) []RefusedContent {
	list := []RefusedContent{}
	for d, s := range g.quarantine.Ledger.Refused() {
		c := RefusedContent{Content: d.String(), AgeMS: now.Sub(s.Since).Milliseconds(), Software: s.Software}
		for _, e := range g.quarantine.Ledger.Of(d) {
			if !e.Cleared {
				c.Account = e.Account
				c.Targets = append(c.Targets, e.Life.ID)
			}
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b RefusedContent) int { return cmp.Compare(a.Content, b.Content) })
	return list
}

// crashes answers operators who ask which contents are refused.
func (g *Gateway) crashes(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.refusedContents(clock.Now())) // the reader may have gone
}

// lift has a content served again, at all gateways.
func (g *Gateway) lift(w http.ResponseWriter, r *http.Request) {
	var content crashes.Digest
	b, err := hex.DecodeString(r.PathValue("content"))
	if err != nil || len(b) != len(content) {
		http.Error(w, "no digest of a content", http.StatusBadRequest)
		return
	}
	copy(content[:], b)
	if !g.quarantine.Lift(content) {
		http.Error(w, "nothing is held against this content", http.StatusNotFound)
	}
}
