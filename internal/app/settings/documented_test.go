// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestGatewaySettingsAreDocumented guards against settings that the table of OPERATIONS lacks.
func TestGatewaySettingsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	sections := reflect.TypeFor[Gateway]()
	for section := range sections.Fields() {
		name := section.Tag.Get("toml")
		if section.Type.Kind() != reflect.Struct {
			checkDocumented(t, string(page), name)
			continue
		}
		for key := range section.Type.Fields() {
			checkDocumented(t, string(page), name+"."+key.Tag.Get("toml"))
		}
	}
}

// checkDocumented fails the test unless a row of a table begins with the key.
func checkDocumented(t *testing.T, page, key string) {
	t.Helper()
	if !strings.Contains(page, "\n| `"+key+"` |") {
		t.Errorf("%s is not in the table of settings", key)
	}
}
