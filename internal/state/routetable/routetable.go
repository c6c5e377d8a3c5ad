// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package routetable looks up the route and the account of a request.
//
// # Model
//
// A Table is compiled once from a hookhall.Routing and is immutable. The handler of a
// request uses one Table from start to end, so that the route, the account and the
// services are all of the same version.
//
// # Invariants
//
//   - Among the routes of a host, the one with the longest matching path prefix is
//     returned, whatever the order of the Routing.
//   - A credential belongs to one account; when several list it, the first wins.
package routetable

import (
	"sort"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
)

// Table is a compiled Routing. It is immutable and may be used concurrently.
type Table struct {
	routing        *hookhall.Routing
	routesByHost   map[string][]*hookhall.Route // keyed by lower-case host; longest prefix first
	accountsByKey  map[string]*hookhall.AccountKeys
	servicesByName map[string]*hookhall.Service
	// maxEventGaps has the smallest MaxEventGap of the routes of each service.
	maxEventGaps map[string]time.Duration
}

// Compile returns the Table of r. The Table refers to r, which must not change
// afterwards.
func Compile(r *hookhall.Routing) *Table {
	t := &Table{
		routing: r, routesByHost: map[string][]*hookhall.Route{},
		accountsByKey: map[string]*hookhall.AccountKeys{}, servicesByName: map[string]*hookhall.Service{}, maxEventGaps: map[string]time.Duration{},
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
		for _, backend := range route.Backends {
			if gap := t.maxEventGaps[backend.Service]; route.MaxEventGap > 0 && (gap == 0 || route.MaxEventGap < gap) {
				t.maxEventGaps[backend.Service] = route.MaxEventGap
			}
		}
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range r.Accounts {
		t.addAccount(&r.Accounts[i])
	}
	for i := range r.Services {
		t.servicesByName[r.Services[i].Name] = &r.Services[i]
	}
	return t
}

// addAccount adds the credentials of an account, except those that an earlier account has.
func (t *Table) addAccount(a *hookhall.AccountKeys) {
	for _, k := range a.Keys {
		if t.accountsByKey[k] == nil {
			t.accountsByKey[k] = a
		}
	}
}

// Version returns the version number that operators gave the routing.
func (t *Table) Version() int64 { return t.routing.Version }

// Routing returns the routing that the Table was compiled from; it must not be changed.
func (t *Table) Routing() *hookhall.Routing { return t.routing }

// Route returns the route of a request, nil when none matches. The host matches without
// regard to case and may have a port, which is ignored; path is without its query.
func (t *Table) Route(host, path string) *hookhall.Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account of a credential, nil when there is none.
func (t *Table) Account(credential string) *hookhall.AccountKeys { return t.accountsByKey[credential] }

// NeedsKey reports whether requests on r need a credential: the route is not public, and
// the routing has accounts.
func (t *Table) NeedsKey(r *hookhall.Route) bool {
	return !r.Public && len(t.routing.Accounts) > 0
}

// Service returns the service with a name, nil when there is none.
func (t *Table) Service(name string) *hookhall.Service { return t.servicesByName[name] }

// MaxEventGap returns the longest pause between events that all routes of a service allow: the
// smallest of their limits, 0 when none is set.
func (t *Table) MaxEventGap(service string) time.Duration { return t.maxEventGaps[service] }
