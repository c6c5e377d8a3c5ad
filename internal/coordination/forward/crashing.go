// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// maxPartsCounted is the maximum number of parts of a prompt for which crashes count.
const maxPartsCounted = 64

// identity returns what stays the same when the request comes again. It is computed at the first
// call. The last part of a prompt is the request's own and needs no count beside the content's.
func (r *request) identity() crashes.Identity {
	if r.cachedIdentity.Content != (crashes.Digest{}) {
		return r.cachedIdentity
	}
	r.cachedIdentity = crashes.Identity{
		Account: r.accountName(), Content: crashes.DigestOf(r.accountName(), r.call.Host, r.call.URI, r.call.Body),
	}
	for _, part := range sharedParts(r.call.Prompt, maxPartsCounted) {
		if part.ID != "" {
			r.cachedIdentity.Parts = append(r.cachedIdentity.Parts, crashes.NewPart(r.service, r.call.Model, part.ID))
		}
	}
	return r.cachedIdentity
}

// sharedParts returns the parts of a prompt that requests may share: the first ones without the last
// part, at most n.
func sharedParts(prompt []hookhall.PromptPart, n int) []hookhall.PromptPart {
	return prompt[:min(max(len(prompt)-1, 0), n)]
}

// recordServed records the answer that the client has got, with which its target has shown that the
// request doesn't crash it. A target that answers with a failure may not have begun to work on the
// prompt.
func (r *request) recordServed() {
	served := r.identity()
	if r.status >= http.StatusMultipleChoices {
		served.Parts = nil
	}
	if r.framing == hookhall.FramedByConnection {
		r.Quarantine.EndedWithConnection(served, r.target)
		return
	}
	r.Quarantine.Served(served, r.target)
}

// recordRun records that the target has run the request for some time without a crash. Long answers would
// otherwise be evidence only at their end, and their crashes would add up until then.
func (r *request) recordRun(e runEvidence) {
	switch e {
	case begunRun:
		r.Quarantine.Running(r.identity())
	case soundRun:
		r.Quarantine.Served(r.identity(), r.target)
	}
}

const (
	// soundRunTime is how long a target writes events of an answer until it has shown that the request doesn't
	// crash it. The targets that crashed in the users' records did so about 100 ms after they had begun to
	// run the request.
	soundRunTime = time.Second
	// begunRunTime is how long it does so until crashes of several targets in one moment count once: the
	// request would have crashed each of them some 100 ms after its own run had begun.
	begunRunTime = 150 * time.Millisecond
)

// runEvidence is what the time for which a target has written events shows of the request.
type runEvidence int

const (
	noEvidence runEvidence = iota
	// begunRun is reached after begunRunTime, once for each attempt.
	begunRun
	// soundRun is reached after each soundRunTime.
	soundRun
)

// runTimer measures for how long a target that has not completed its answer has run the request.
type runTimer struct {
	events int           // complete events so far
	waited time.Duration // for bytes of the target, between events, since the last soundRun
	begun  bool          // begunRun was returned
}

// add records that the target has written events complete events in all, the last of them after the
// caller had waited for it. It returns what the target has shown by that and not before. Time in which the
// client or this process was slow doesn't count, as events that the target wrote at once may be read
// during it.
func (t *runTimer) add(events int, waited time.Duration) runEvidence {
	if t.events > 0 {
		t.waited += waited
	}
	isNew := events > t.events
	t.events = events
	switch {
	case !isNew:
	case t.waited >= soundRunTime:
		t.waited, t.begun = 0, true
		return soundRun
	case t.waited >= begunRunTime && !t.begun:
		t.begun = true
		return begunRun
	}
	return noEvidence
}

// excludeCrashing excludes the targets that the request would crash, and returns an error if that
// excludes all of them. Crashes are counted by what stays the same when a request comes again, since it
// may come through any gateway and with another id.
func (r *request) excludeCrashing() *hookhall.Error {
	standing := r.Quarantine.Standing(r.identity)
	if !standing.Refused() {
		return nil
	}
	remaining := 0
	for _, target := range r.targets() {
		if standing.RefusedBy(target.Software()) {
			r.tried[target.ID] = true
		} else {
			remaining++
		}
	}
	if remaining > 0 {
		return nil
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCrashes,
		"%d targets of %s crashed while they ran this request or others with the same parts, the first %s ago; it is not sent again",
		standing.Crashes, r.service, clock.Since(standing.FirstReported).Round(time.Second))
}

const (
	// maxLoggedParts is the maximum number of parts of a prompt in a log line.
	maxLoggedParts = 8
	// maxLoggedPartID is the maximum number of bytes of the ID of a part in a log line.
	maxLoggedPartID = 32
)

// sharedPartsForLog returns the IDs of the parts of a prompt that requests may share, in order and
// separated by commas. IDs come from clients and are shortened.
func sharedPartsForLog(prompt []hookhall.PromptPart) string {
	var ids []string
	for _, part := range sharedParts(prompt, maxLoggedParts) {
		ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartID)])
	}
	return strings.Join(ids, ",")
}
