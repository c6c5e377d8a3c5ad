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

const good = `[entry]
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

func TestParse(t *testing.T) {
	Convey("Settings", t, func() {
		Convey("that are complete are taken, with defaults", func() {
			s := DefaultEntry()
			So(Parse("x.toml", []byte(good), &s), ShouldBeNil)
			So(s.Fleet.HeartbeatMS, ShouldEqual, 500)
			So(s.Policy.Claims, ShouldBeTrue)
		})
		cases := []struct{ name, text, words string }{
			{"an unknown key", good + "colour = 1\n", "x.toml:12: fleet.colour: unknown key"},
			{"an unknown section", good + "[weather]\nrain = true\n", "x.toml:12: weather"},
			{"another type", strings.Replace(good, `"hall-1"`, "7", 1), "x.toml:3: entry.hall"},
			{"a host's name", strings.Replace(good, `"127.0.0.1:1"`, `"kv.example:1"`, 1), `x.toml:8: platform.key_value: "kv.example:1" is not accepted; an IP number and a port are`},
			{"a value out of range", good + "heartbeat_ms = 5\n", "x.toml:12: fleet.heartbeat_ms: 5 is not accepted; 20 to 10000 is"},
			{"a short secret", strings.Replace(good, `secret = "long-enough"`, `secret = "short"`, 1), "x.toml:11: fleet.secret: it is shorter than 8"},
			{"a missing key", strings.Replace(good, `instance = "entry-1"`, "", 1), "x.toml:1: entry.instance"},
			{"no TOML", "[entry\n", "x.toml:1"},
			{"nothing", "", "entry.callers"},
			{"a wrong word", good + "[log]\nlevel = \"loud\"\n", "x.toml:13: log.level: \"loud\" is not accepted; one of debug, info, warn, error is"},
		}
		for _, x := range cases {
			Convey("with "+x.name+" are refused in a line that says where", func() {
				s := DefaultEntry()
				err := Parse("x.toml", []byte(x.text), &s)
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, x.words)
			})
		}
	})
}

// TestOperatingPage keeps docs/OPERATING.md complete.
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

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		part := t.Field(i)
		for j := range part.Type.NumField() {
			keys = append(keys, fmt.Sprintf("%s.%s", part.Tag.Get("toml"), part.Type.Field(j).Tag.Get("toml")))
		}
	}
	return keys
}
