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

func cell(row, column, value, base string) hookhall.Edit {
	return hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: row, Column: column, Value: value, Base: base}
}

func TestApply(t *testing.T) {
	Convey("A table", t, func() {
		d, err := Empty().Apply("one", []hookhall.Edit{cell("acme", "rate", "5", ""), cell("acme", "weight", "2", "")})
		So(err, ShouldBeNil)
		So(d.Root.Version, ShouldEqual, 1)
		Convey("takes an edit on what it holds", func() {
			n, err := d.Apply("two", []hookhall.Edit{cell("acme", "rate", "6", "5")})
			So(err, ShouldBeNil)
			So(n.Root.Applied("two"), ShouldEqual, 2)
			w, _ := d.Row(hookhall.SheetAccounts, "acme")
			So(w.Cells["rate"], ShouldEqual, "5") // the older document is as it was
		})
		Convey("refuses an edit on what it held, with what it holds now", func() {
			_, err := d.Apply("two", []hookhall.Edit{cell("acme", "rate", "6", "4"), cell("acme", "weight", "3", "2")})
			var c Conflicts
			So(errors.As(err, &c), ShouldBeTrue)
			So(c, ShouldHaveLength, 1)
			So(c[0].Current, ShouldEqual, "5")
		})
		Convey("refuses wrong cells, all of them named", func() {
			_, err := d.Apply("two", []hookhall.Edit{cell("acme", "rate", "fast", "5"), cell("acme", "tint", "x", ""), cell("a b", "rate", "1", "")})
			var list Errors
			So(errors.As(err, &list), ShouldBeTrue)
			So(list, ShouldHaveLength, 3)
			So(list[0].Error(), ShouldEqual, `accounts/acme:rate: "fast" is not accepted; it must be requests a second, from 0 (no limit) to 1000000`)
		})
		Convey("refuses two accounts with one key", func() {
			key := strings.Repeat("ab", 32)
			_, err := d.Apply("two", []hookhall.Edit{cell("acme", "key_sha256", key, ""), cell("other", "key_sha256", key, "")})
			So(err, ShouldNotBeNil)
		})
		Convey("deletes a row, and remembers chunks to be deleted for a while", func() {
			old := d.Root.Chunks
			n, err := d.Apply("two", []hookhall.Edit{{Sheet: hookhall.SheetAccounts, Row: "acme", Delete: true}})
			So(err, ShouldBeNil)
			So(n.Rows(), ShouldBeEmpty)
			So(n.Root.Retired, ShouldHaveLength, 1)
			So(old, ShouldContain, n.Root.Retired[0].Name)
			for i := 0; i < retiredFor; i++ {
				next, err := n.Apply("more", []hookhall.Edit{cell("acme", "rate", string(rune('1'+i%9)), n.value("acme", "rate"))})
				So(err, ShouldBeNil)
				if gone := n.Obsolete(next); len(gone) > 0 {
					So(i, ShouldBeGreaterThanOrEqualTo, retiredFor-2)
				}
				n = next
			}
		})
		Convey("is refused when a chunk is missing or damaged", func() {
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
			for _, x := range s.Pipelines["p"].Stages {
				names = append(names, x.Name)
			}
			So(names, ShouldResemble, []string{"first", "second", "last"})
		})
	})
}

func (d *Document) value(row, column string) string {
	w, _ := d.Row(hookhall.SheetAccounts, row)
	return w.Cells[column]
}

// TestRoundTrip: whatever is edited, a document read back from its root and
// chunks has the same rows.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Empty()
		rows := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,6}`), 1, 30).Draw(t, "rows")
		for i, row := range rows {
			e := cell(row, "weight", rapid.SampledFrom([]string{"1", "2", "3", ""}).Draw(t, "value"), "")
			e.Force, e.Delete = true, i%7 == 6
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
		back, err := Assemble(root, d.ChunkNamed)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := encodeRows(d.Rows()), encodeRows(back.Rows()); string(a) != string(b) {
			t.Fatalf("%s\n%s", a, b)
		}
	})
}
