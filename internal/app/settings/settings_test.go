// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/hookhall/hookhall/internal/state/table"
	. "github.com/smartystreets/goconvey/convey"
)

const validEntry = `[entry]
instance = "entry-1"
hall = "hall-1"
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operator_token = "long-enough"
[platform]
key_value = "127.0.0.1:1"
instances = "127.0.0.1:2"
[fleet]
secret = "long-enough"
`

// TestParse guards against settings that are invalid but accepted, and against errors
// that don't name the line, the key and what would be accepted.
func TestParse(t *testing.T) {
	Convey("Settings", t, func() {
		Convey("that are complete are accepted, with defaults", func() {
			s := DefaultEntry()
			So(Parse("x.toml", []byte(validEntry), &s), ShouldBeNil)
			So(s.Fleet.HeartbeatMS, ShouldEqual, 500)
			So(s.Policy.Claims, ShouldBeTrue)
		})
		cases := []struct{ name, text, want string }{
			{"an unknown key", validEntry + "colour = 1\n", "x.toml:12: fleet.colour: unknown key"},
			{"an unknown section", validEntry + "[weather]\nrain = true\n", "x.toml:12: weather"},
			{"another type", strings.Replace(validEntry, `"hall-1"`, "7", 1), "x.toml:3: entry.hall"},
			{"a host name", strings.Replace(validEntry, `"127.0.0.1:1"`, `"kv.example:1"`, 1), `x.toml:8: platform.key_value: "kv.example:1" is not a valid address; it must be an IP address and a port`},
			{"a value out of range", validEntry + "heartbeat_ms = 5\n", "x.toml:12: fleet.heartbeat_ms: 5 is out of range; it must be 20 to 10000"},
			{"a short secret", strings.Replace(validEntry, `secret = "long-enough"`, `secret = "short"`, 1), "x.toml:11: fleet.secret: it is shorter than 8"},
			{"a missing key", strings.Replace(validEntry, `instance = "entry-1"`, "", 1), "x.toml:1: entry.instance"},
			{"invalid TOML", "[entry\n", "x.toml:1"},
			{"an empty file", "", "entry.callers"},
			{"an unknown value", validEntry + "[log]\nlevel = \"loud\"\n", "x.toml:13: log.level: \"loud\" is not a valid value; it must be one of debug, info, warn, error"},
		}
		for _, x := range cases {
			Convey("with "+x.name+" are refused with an error that names the line", func() {
				s := DefaultEntry()
				err := Parse("x.toml", []byte(x.text), &s)
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, x.want)
			})
		}
	})
}

// TestOperatingPage guards against settings of entries and admins, and columns of the
// table, that docs/OPERATING.md does not mention.
func TestOperatingPage(t *testing.T) {
	Convey("docs/OPERATING.md has every setting and every column", t, func() {
		b, err := os.ReadFile("../../../docs/OPERATING.md")
		So(err, ShouldBeNil)
		page := string(b)
		for _, s := range []any{DefaultEntry(), DefaultAdmin()} {
			for _, key := range keysOf(reflect.TypeOf(s)) {
				So(page, ShouldContainSubstring, "`"+key+"`")
			}
		}
		for _, sheet := range table.Sheets() {
			for _, c := range table.Columns(sheet) {
				So(page, ShouldContainSubstring, "`"+c.Name+"`")
			}
		}
	})
}

// keysOf returns the keys of a settings struct as section.key.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		section := t.Field(i)
		for j := range section.Type.NumField() {
			keys = append(keys, fmt.Sprintf("%s.%s", section.Tag.Get("toml"), section.Type.Field(j).Tag.Get("toml")))
		}
	}
	return keys
}
