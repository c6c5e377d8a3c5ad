// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// layers has the folders of internal from the lowest layer to the highest. A package may
// import packages of its own layer and of lower ones.
var layers = []string{"state", "coordination", "protocol", "transport", "standin", "load", "app", "lab"}

// Prefixes of the import paths of internal packages and of the platform's packages.
const (
	internalPrefix = "github.com/hookhall/hookhall/internal/"
	platformPrefix = "github.com/hookhall/hookhall/platform"
)

// layerOf returns the index in layers of the first folder of a path below internal, or -1 if
// it is none of them.
func layerOf(path string) int {
	name, _, _ := strings.Cut(path, "/")
	for i, layer := range layers {
		if layer == name {
			return i
		}
	}
	return -1
}

// TestPlatformStaysOutside guards against dependencies of internal packages and commands
// on the platform's packages, which only the main package of hookhall-gateway may import.
func TestPlatformStaysOutside(t *testing.T) {
	checked := 0
	for _, dir := range []string{".", "../cmd"} {
		for path, imports := range importsBelow(t, dir) {
			checked++
			for _, name := range imports {
				if strings.HasPrefix(name, platformPrefix) && !strings.HasSuffix(path, "hookhall-gateway/main.go") {
					t.Errorf("%s imports %s, which only hookhall-gateway/main.go may", path, name)
				}
			}
		}
	}
	if checked < 50 {
		t.Fatalf("only %d files checked", checked)
	}
}

// importsBelow returns the import paths of each Go file below dir, by file path. Test
// files are left out.
func importsBelow(t *testing.T, dir string) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			found[path] = append(found[path], name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// TestLayers guards against imports of a higher layer by a lower one.
func TestLayers(t *testing.T) {
	checked := 0
	for path, imports := range importsBelow(t, ".") {
		for _, name := range imports {
			imported, isInternal := strings.CutPrefix(name, internalPrefix)
			if !isInternal {
				continue
			}
			checked++
			if layerOf(imported) < 0 || layerOf(imported) > layerOf(filepath.ToSlash(path)) {
				t.Errorf("%s imports %s, which is of a higher layer or of none", path, imported)
			}
		}
	}
	if checked < 50 {
		t.Fatalf("only %d imports checked", checked)
	}
}
