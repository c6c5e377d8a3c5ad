// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"strings"
	"testing"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// newEdit returns an edit of a cell of the accounts sheet.
func newEdit(row, column, value, base string) hookhall.Edit {
	return hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: row, Column: column, Value: value, Base: base}
}

// TestApply guards against lost updates, edits that apply in part, invalid cells that are
// stored, and chunks that are deleted while a recent root may still list them.
func TestApply(t *testing.T) {
	Convey("A table", t, func() {
		d, err := Empty().Apply("one", []hookhall.Edit{newEdit("acme", "rate", "5", ""), newEdit("acme", "weight", "2", "")})
		So(err, ShouldBeNil)
		So(d.Root.Version, ShouldEqual, 1)
		Convey("applies an edit whose base matches the cell", func() {
			n, err := d.Apply("two", []hookhall.Edit{newEdit("acme", "rate", "6", "5")})
			So(err, ShouldBeNil)
			So(n.Root.AppliedVersion("two"), ShouldEqual, 2)
			account, _ := d.Row(hookhall.SheetAccounts, "acme")
			So(account.Cells["rate"], ShouldEqual, "5") // the older document is unchanged
		})
		Convey("refuses an edit on an outdated base, and returns the current value", func() {
			_, err := d.Apply("two", []hookhall.Edit{newEdit("acme", "rate", "6", "4"), newEdit("acme", "weight", "3", "2")})
			var c Conflicts
			So(errors.As(err, &c), ShouldBeTrue)
			So(c, ShouldHaveLength, 1)
			So(c[0].Current, ShouldEqual, "5")
		})
		Convey("refuses invalid cells, and lists all of them", func() {
			_, err := d.Apply("two", []hookhall.Edit{newEdit("acme", "rate", "fast", "5"), newEdit("acme", "tint", "x", ""), newEdit("a b", "rate", "1", "")})
			var invalid CellErrors
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid, ShouldHaveLength, 3)
			So(invalid[0].Error(), ShouldEqual, `accounts/acme:rate: "fast" is not accepted; it must be requests a second, from 0 (no limit) to 1000000`)
		})
		Convey("refuses two accounts with one key", func() {
			key := strings.Repeat("ab", 32)
			_, err := d.Apply("two", []hookhall.Edit{newEdit("acme", "key_sha256", key, ""), newEdit("other", "key_sha256", key, "")})
			So(err, ShouldNotBeNil)
		})
		Convey("rejects a deletion that names a column, and keeps the row", func() {
			_, err := d.Apply("two", []hookhall.Edit{{Sheet: hookhall.SheetAccounts, Row: "acme", Column: "rate", Delete: true}})
			var invalid CellErrors
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid[0].Column, ShouldEqual, "rate")
		})
		Convey("deletes a row, and keeps its replaced chunk listed for retiredVersions versions", func() {
			old := d.Root.Chunks
			n, err := d.Apply("two", []hookhall.Edit{{Sheet: hookhall.SheetAccounts, Row: "acme", Delete: true}})
			So(err, ShouldBeNil)
			So(n.Rows(), ShouldBeEmpty)
			So(n.Root.Retired, ShouldHaveLength, 1)
			So(old, ShouldContain, n.Root.Retired[0].Name)
			for i := 0; i < retiredVersions; i++ {
				next, err := n.Apply("more", []hookhall.Edit{newEdit("acme", "rate", string(rune('1'+i%9)), n.cellValue("acme", "rate"))})
				So(err, ShouldBeNil)
				if obsolete := n.ObsoleteChunks(next); len(obsolete) > 0 {
					So(i, ShouldBeGreaterThanOrEqualTo, retiredVersions-2)
				}
				n = next
			}
		})
		Convey("is not assembled when a chunk is missing or damaged", func() {
			_, err := Assemble(d.Root, func(string) []byte { return nil })
			So(err, ShouldNotBeNil)
			_, err = Assemble(d.Root, func(name string) []byte { return append([]byte(" "), d.ChunkNamed(name)...) })
			So(err, ShouldNotBeNil)
		})
		Convey("sorts a pipeline's stages by their number", func() {
			var edits []hookhall.Edit
			for _, row := range []string{"p/10-last", "p/2-second", "p/1-first"} {
				edits = append(edits, hookhall.Edit{Sheet: hookhall.SheetStages, Row: row, Column: "pool", Value: "x"})
			}
			n, err := d.Apply("two", edits)
			So(err, ShouldBeNil)
			s, err := Compile(n)
			So(err, ShouldBeNil)
			var names []string
			for _, stage := range s.Pipelines["p"].Stages {
				names = append(names, stage.Name)
			}
			So(names, ShouldResemble, []string{"first", "second", "last"})
		})
	})
}

// cellValue returns a cell of the accounts sheet.
func (d *Document) cellValue(row, column string) string {
	account, _ := d.Row(hookhall.SheetAccounts, row)
	return account.Cells[column]
}

// TestRoundTrip guards against rows that are lost or changed in storage: after random
// edits, a document assembled from its encoded root and chunks has the same rows.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Empty()
		rows := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,6}`), 1, 30).Draw(t, "rows")
		for i, row := range rows {
			e := newEdit(row, "weight", rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value"), "")
			e.Force = true
			if i%7 == 6 {
				e = hookhall.Edit{Sheet: e.Sheet, Row: row, Delete: true}
			}
			n, err := d.Apply("x", []hookhall.Edit{e})
			if err != nil {
				t.Fatal(err)
			}
			d = n
		}
		root, err := DecodeRoot(d.EncodeRoot())
		if err != nil {
			t.Fatal(err)
		}
		assembled, err := Assemble(root, d.ChunkNamed)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := encodeRows(d.Rows()), encodeRows(assembled.Rows()); string(a) != string(b) {
			t.Fatalf("%s\n%s", a, b)
		}
	})
}
