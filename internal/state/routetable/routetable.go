// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package routetable finds the route and the account of a request.
//
// # Model
//
// A Table is compiled once from a hookhall.Routing and never changes; whoever
// serves a request holds one Table from its start to its end, so that route,
// account and services always stem from the same version.
//
// # Invariants
//
//   - Of a host's routes the one with the longest prefix of the path is found,
//     whatever order they came in.
//   - A credential belongs to one account; of doubles, the first wins.
package routetable

import (
	"sort"
	"strings"

	"github.com/hookhall/hookhall"
)

// Table is a compiled Routing.
type Table struct {
	routing  *hookhall.Routing
	hosts    map[string][]*hookhall.Route // longest prefix first
	accounts map[string]*hookhall.AccountKeys
	services map[string]*hookhall.Service
}

// Compile makes the Table of r, which must not change afterwards.
func Compile(r *hookhall.Routing) *Table {
	t := &Table{
		routing: r, hosts: map[string][]*hookhall.Route{},
		accounts: map[string]*hookhall.AccountKeys{}, services: map[string]*hookhall.Service{},
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range r.Accounts {
		t.addAccount(&r.Accounts[i])
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	return t
}

func (t *Table) addAccount(a *hookhall.AccountKeys) {
	for _, k := range a.Keys {
		if t.accounts[k] == nil {
			t.accounts[k] = a
		}
	}
}

// Version is the operators' number of the table.
func (t *Table) Version() int64 { return t.routing.Version }

// Routing is what the Table was compiled from.
func (t *Table) Routing() *hookhall.Routing { return t.routing }

// Route finds the route of a request, nil when there is none. The host may
// have a port; path is without its query.
func (t *Table) Route(host, path string) *hookhall.Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account finds the account of a credential, nil when there is none.
func (t *Table) Account(credential string) *hookhall.AccountKeys { return t.accounts[credential] }

// NeedsKey tells whether requests on r need a credential.
func (t *Table) NeedsKey(r *hookhall.Route) bool {
	return !r.Public && len(t.routing.Accounts) > 0
}

// Service finds a service, nil when there is none.
func (t *Table) Service(name string) *hookhall.Service { return t.services[name] }
