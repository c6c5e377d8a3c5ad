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

// RefusedContent is a request content, or a set of parts of prompts, that is refused because
// targets crashed while they ran it.
type RefusedContent struct {
	Content string `json:"content"` // hex digest, as in the log; for parts that of the first one
	// Parts lists the IDs of the parts; a request with all of them is refused.
	Parts   []string `json:"parts,omitempty"`
	Account string   `json:"account,omitempty"`
	AgeMS   int64    `json:"age_ms"` // since the first crash was reported
	// Software lists the service and version of the crashed targets. Targets lists
	// their IDs, once for each incarnation that crashed.
	Software []string `json:"software"`
	Targets  []string `json:"targets"`
}

// refusedContents returns the refused contents, sorted by digest. It is empty, not
// nil, if there are none, so that it is encoded as a JSON list.
func (g *Gateway) refusedContents(now time.Time) []RefusedContent {
	list := []RefusedContent{}
	for digest, status := range g.quarantine.Ledger.Refused() {
		refused := RefusedContent{Content: digest.String(), AgeMS: now.Sub(status.FirstReported).Milliseconds(), Software: status.Software}
		refused.addCrashes(g.quarantine.Ledger.ByContent(digest))
		list = append(list, refused)
	}
	for _, set := range g.quarantine.Parts.Refused() {
		first := set.Parts[0].Digest
		refused := RefusedContent{Content: first.String(), AgeMS: now.Sub(set.Status.FirstReported).Milliseconds(), Software: set.Status.Software}
		for _, part := range set.Parts {
			refused.Parts = append(refused.Parts, part.ID)
		}
		refused.addCrashes(g.quarantine.Parts.Ledger().ByContent(first))
		list = append(list, refused)
	}
	slices.SortFunc(list, func(a, b RefusedContent) int { return cmp.Compare(a.Content, b.Content) })
	return list
}

// addCrashes adds the account and the targets of crashes that are not cleared.
func (r *RefusedContent) addCrashes(list []crashes.Crash) {
	for _, crash := range list {
		if !crash.Cleared {
			r.Account = crash.Account
			r.Targets = append(r.Targets, crash.Incarnation.ID)
		}
	}
}

// serveRefusedContents answers an operator with the refused contents as JSON.
func (g *Gateway) serveRefusedContents(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.refusedContents(clock.Now())) // the client may have closed the connection
}

// serveRelease releases a content or a set of parts from quarantine at all gateways. It answers 400 if
// the path contains no valid digest, and 404 if no crash is recorded for the content.
func (g *Gateway) serveRelease(w http.ResponseWriter, r *http.Request) {
	var content crashes.Digest
	decoded, err := hex.DecodeString(r.PathValue("content"))
	if err != nil || len(decoded) != len(content) {
		http.Error(w, "no digest of a content", http.StatusBadRequest)
		return
	}
	copy(content[:], decoded)
	if !g.quarantine.Release(content) {
		http.Error(w, "nothing is held against this content", http.StatusNotFound)
	}
}
