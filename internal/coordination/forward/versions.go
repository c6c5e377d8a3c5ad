// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"slices"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// minTakeUpWindow and maxTakeUpWindow bound how long ago a stream that a client takes up can
	// have begun.
	minTakeUpWindow = 10 * time.Second
	maxTakeUpWindow = binding.MaxWindow
	// takeUpWindowFactor is the same as a multiple of the route's timeout: clients retry within
	// deadlines of about that length.
	takeUpWindowFactor = 2
	// bindingMargin is how much longer than the client's deadline the binding of its stream is
	// kept: a request may be on its way, or wait for a new connection.
	bindingMargin = 2 * time.Second
	// unknownVersionRetryAfter is the delay after which a client should retry whose stream's version
	// is not known: gateways that did not answer may do so again, and the load balancer
	// may choose another one.
	unknownVersionRetryAfter = 500 * time.Millisecond
	// missingVersionRetryAfter is the delay after which a client should retry for whose stream no
	// target of its version is left: a target takes at least about a second to start.
	missingVersionRetryAfter = time.Second
	// identifyTimeout bounds the query for the incarnation that runs at a target. Without an answer it counts as
	// the listed one: most often the target has ended, so that the attempt fails as well.
	identifyTimeout = 150 * time.Millisecond
)

// begunAt is the software that began a stream. Further attempts may be sent nowhere else.
type begunAt struct {
	isBound bool // an event of the stream has reached the client, or may have
	version string
	found   bindings.Found // of a stream that the client takes up
}

// takeUp finds the software that began the stream which the client takes up, if it does. A stream
// whose version is not known, or has no target, is refused before any of its stages run.
func (r *request) takeUp(ctx context.Context) *hookhall.Error {
	if !r.route.Resumable || r.route.Kind != hookhall.KindStreaming || r.call.LastEventID == "" {
		return nil
	}
	found := r.Bindings.Find(ctx, bindings.Query{Key: r.streamKey(), Service: r.service, Window: r.takeUpWindow(), IsUnnamed: r.call.Resumes == "", Others: r.otherServices()})
	r.begun = begunAt{version: found.Version, found: found}
	if found.Source == bindings.SourceUnknown {
		failure := hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "it is not known which version of %s began the stream: asked %d gateways, of which %d did not answer", r.service, found.Asked, found.Unanswered)
		return failure.WithRetryAfter(unknownVersionRetryAfter)
	}
	isRouted := func(s hookhall.WeightedService) bool { return s.Service == found.Service }
	if !slices.ContainsFunc(r.route.Backends, isRouted) {
		failure := hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "the route leads to %s no longer, which began the stream", found.Service)
		return failure.WithRetryAfter(missingVersionRetryAfter)
	}
	r.service, r.begun.isBound = found.Service, true
	if r.call.Resumes != "" {
		r.Bindings.Refresh(r.binding())
	}
	return r.refuseMissingVersion()
}

// bind ties the stream to the software that has sent its first event, before that is passed on.
func (r *request) bind(ctx context.Context) {
	if r.begun.isBound || !r.route.Resumable {
		return
	}
	r.begun.isBound, r.begun.version = true, r.target.Version
	if r.call.ID != "" { // else no client can name the stream
		began := clock.Now()
		r.Bindings.Bind(ctx, r.binding(), r.takeUpWindow())
		r.bindElapsed = clock.Since(began)
	}
}

// binding returns the binding of the stream.
func (r *request) binding() binding.Binding {
	timeout := r.call.ClientTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return binding.Binding{
		Key: r.streamKey(), Service: r.service, Version: r.begun.version, ExpiresAt: r.arrived.Add(min(timeout, maxTakeUpWindow) + bindingMargin),
		IsExplicit: len(r.otherServices()) > 0,
	}
}

// otherServices returns the services to which the route leads beside the one that was drawn.
func (r *request) otherServices() []string {
	var others []string
	for _, b := range r.route.Backends {
		if b.Service != r.service {
			others = append(others, b.Service)
		}
	}
	return others
}

// streamKey identifies the stream over the client's tries, by the call that brought its first event.
func (r *request) streamKey() binding.Key {
	call := r.call.ID
	if r.call.LastEventID != "" {
		call = r.call.Resumes
	}
	return binding.KeyOf(r.accountName(), call)
}

// takeUpWindow returns how long ago a stream that a client takes up can have begun.
func (r *request) takeUpWindow() time.Duration {
	return min(max(takeUpWindowFactor*r.route.Timeout, minTakeUpWindow), maxTakeUpWindow)
}

// versions returns the versions to which the next attempt may be sent.
func (r *request) versions() balance.Versions {
	if r.begun.isBound {
		return balance.Versions{Only: r.begun.version, Exact: true}
	}
	versions := r.Rollouts.Versions(r.service, r.attempts == 0)
	if versions == (balance.Versions{}) && r.route.Resumable && r.route.Kind == hookhall.KindStreaming {
		return r.recordableVersions()
	}
	return versions
}

// recordableVersions returns the versions at which a new stream can be tied to its version: all, unless
// records can't be written and the version has targets that needs none.
func (r *request) recordableVersions() balance.Versions {
	version, ok := r.Bindings.Preferred(r.service)
	only := balance.Versions{Only: version, Exact: true}
	if !ok || !slices.ContainsFunc(r.Catalog.Targets(r.service), only.Allow) {
		return balance.Versions{}
	}
	return only
}

// refuseMissingVersion returns an error if a begun stream can't go on: no target of its version is
// listed, or a rollout excludes the version.
func (r *request) refuseMissingVersion() *hookhall.Error {
	if !r.begun.isBound {
		return nil
	}
	if r.Rollouts.MayGoOn(r.service, r.begun.version) && slices.ContainsFunc(r.targets(), r.versions().Allow) {
		return nil
	}
	failure := hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "no target of %s is left that runs %q, which began the stream", r.service, r.begun.version)
	return failure.WithRetryAfter(missingVersionRetryAfter)
}

// targets returns the targets of the request's service. If none is left of the version that began its stream,
// it includes departing ones, since the stream can go on nowhere else.
func (r *request) targets() []hookhall.Target {
	targets := r.Catalog.Targets(r.service)
	if !r.begun.isBound || slices.ContainsFunc(targets, r.versions().Allow) {
		return targets
	}
	return slices.Concat(targets, r.Catalog.Departing(r.service, clock.Now()))
}

// candidates returns those of a service's targets at which a begun stream may go on, or all.
func (r *request) candidates(targets []hookhall.Target) []hookhall.Target {
	if !r.begun.isBound {
		return targets
	}
	versions := r.versions()
	return slices.DeleteFunc(slices.Clone(targets), func(t hookhall.Target) bool { return !versions.Allow(t) })
}

// isReplaced reports whether another incarnation than the listed one runs at a target where the request's
// stream would go on. It may be of another version.
func (r *request) isReplaced(ctx context.Context, target hookhall.Target) bool {
	if !r.begun.isBound || r.Identifier == nil || target.Start == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	start, ok := r.Identifier.Start(ctx, target)
	if !ok || start == target.Start {
		return false
	}
	r.Log.Info("a stream does not go on at a target that was replaced", "request", r.call.ID, "target", target.ID, "listed", target.Start, "found", start)
	return true
}

// isExhausted reports whether all targets were tried to which the request may be sent.
func (r *request) isExhausted() bool {
	candidates := r.candidates(r.targets())
	if !r.begun.isBound {
		return len(r.tried) >= len(candidates)
	}
	return !slices.ContainsFunc(candidates, func(t hookhall.Target) bool { return !r.tried[t.ID] })
}

// allCandidatesCold reports whether only cold targets may run the next attempt.
func (r *request) allCandidatesCold(targets []hookhall.Target) bool {
	return allCold(r.candidates(targets), clock.Now())
}
