// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"reflect"
	"strings"

	"github.com/hookhall/hookhall/internal/app/settings"
)

// Reload reads the settings again and tells what differs. Addresses and bounds
// are taken in by a restart only, which a planned stop makes harmless.
func (g *Gateway) Reload(path string) {
	s := settings.DefaultGateway()
	if err := settings.Load(path, &s); err != nil {
		g.log.Error("The settings can't be read; those in force stay.", "error", err.Error())
		return
	}
	changed := differences(g.settings, s)
	g.log.Info("The settings were read again.", "changed", strings.Join(changed, ","), "needs_restart", len(changed) > 0)
}

// differences lists the keys whose values differ, in the settings' own order.
func differences(a, b settings.Gateway) []string {
	var list []string
	av, bv := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range av.NumField() {
		section := av.Type().Field(i).Tag.Get("toml")
		if av.Field(i).Kind() != reflect.Struct {
			if !reflect.DeepEqual(av.Field(i).Interface(), bv.Field(i).Interface()) {
				list = append(list, section)
			}
			continue
		}
		for j := range av.Field(i).NumField() {
			if !reflect.DeepEqual(av.Field(i).Field(j).Interface(), bv.Field(i).Field(j).Interface()) {
				list = append(list, section+"."+av.Field(i).Type().Field(j).Tag.Get("toml"))
			}
		}
	}
	return list
}
