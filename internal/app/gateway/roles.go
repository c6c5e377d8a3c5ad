// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/members"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// tableRoles caches the roles of a table.
type tableRoles struct {
	table *routetable.Table
	roles *members.Roles
}

// roles returns the roles of the table in force, nil without a table.
func (g *Gateway) roles() *members.Roles {
	table := g.catalog.Table()
	if table == nil {
		return nil
	}
	cached := g.cachedRoles.Load()
	if cached == nil || cached.table != table {
		cached = &tableRoles{table, members.NewRoles(roleKeys(table.Routing().Services))}
		g.cachedRoles.Store(cached)
	}
	return cached.roles
}

// roleKeys returns the keys of the brokers of the stage pools and of the placement owners of the
// engines, in the order of the services' names. The placement owner of another service is no
// role: it has work only while targets of the service are cold or limited.
func roleKeys(services []hookhall.Service) []string {
	var names []string
	keyByName := map[string]string{}
	for _, s := range services {
		switch {
		case s.Pool != nil:
			keyByName[s.Name] = s.Name
		case s.Engine != nil:
			keyByName[s.Name] = placement.OwnerKey(s.Name)
		default:
			continue
		}
		names = append(names, s.Name)
	}
	slices.Sort(names)
	var keys []string
	for _, name := range slices.Compact(names) {
		keys = append(keys, keyByName[name])
	}
	return keys
}
