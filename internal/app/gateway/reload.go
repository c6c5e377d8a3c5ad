// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"reflect"
	"strings"

	"github.com/hookhall/hookhall/internal/app/settings"
)

// Reload reads the settings file at path again and logs the keys that differ from
// those in force. It applies none of them: a change takes effect only at a restart,
// which a planned stop makes harmless to clients.
func (g *Gateway) Reload(path string) {
	reread := settings.DefaultGateway()
	if err := settings.Load(path, &reread); err != nil {
		g.log.Error("could not read the settings; those in force stay", "error", err.Error())
		return
	}
	changed := changedKeys(g.settings, reread)
	g.log.Info("settings read again", "changed", strings.Join(changed, ","), "needs_restart", len(changed) > 0)
}

// changedKeys returns the keys whose values differ, in the order of the fields of
// settings.Gateway. A field that is no struct counts as one key.
func changedKeys(current, reread settings.Gateway) []string {
	var keys []string
	currentValue, rereadValue := reflect.ValueOf(current), reflect.ValueOf(reread)
	for i := range currentValue.NumField() {
		section := currentValue.Type().Field(i).Tag.Get("toml")
		if currentValue.Field(i).Kind() != reflect.Struct {
			if !reflect.DeepEqual(currentValue.Field(i).Interface(), rereadValue.Field(i).Interface()) {
				keys = append(keys, section)
			}
			continue
		}
		for j := range currentValue.Field(i).NumField() {
			if !reflect.DeepEqual(currentValue.Field(i).Field(j).Interface(), rereadValue.Field(i).Field(j).Interface()) {
				keys = append(keys, section+"."+currentValue.Field(i).Type().Field(j).Tag.Get("toml"))
			}
		}
	}
	return keys
}
