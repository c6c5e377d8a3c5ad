// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package settings reads the TOML settings of hookhall's programs.
//
// # Model
//
// Each program has one struct; its tags name the keys and its comments are the
// documentation that docs/OPERATING.md is tested against. A file is refused as
// a whole: for an unknown key, a value of the wrong type or one out of range.
// An Error has one line for each mistake: file, line, key, and what would be
// accepted.
//
// # Invariants
//
//   - Addresses are IP numbers with ports; names are refused, never resolved.
//   - Reading settings has no effect: check-config is the same code.
package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Entry is the settings of hookhall-entry.
type Entry struct {
	Entry    EntryPart    `toml:"entry"`
	Platform PlatformPart `toml:"platform"`
	Fleet    FleetPart    `toml:"fleet"`
	Stop     StopPart     `toml:"stop"`
	Log      LogPart      `toml:"log"`
	Policy   PolicyPart   `toml:"policy"`
}

// EntryPart tells an entry who and where it is.
type EntryPart struct {
	Instance      string `toml:"instance"`       // the platform's name of this instance
	Hall          string `toml:"hall"`           // the hall it stands in
	Callers       string `toml:"callers"`        // IP:port that callers use
	Peers         string `toml:"peers"`          // IP:port that peers use
	Advertise     string `toml:"advertise"`      // IP:port at which peers reach Peers; "" for the same
	OperatorToken string `toml:"operator_token"` // bearer token for dumps and metrics
}

// PlatformPart tells where the platform is.
type PlatformPart struct {
	KeyValue  string `toml:"key_value"` // IP:port of the key-value service
	Instances string `toml:"instances"` // IP:port of the instance list
}

// FleetPart is shared by all processes of one fleet.
type FleetPart struct {
	Secret         string `toml:"secret"`            // shared by the fleet's processes
	HeartbeatMS    int    `toml:"heartbeat_ms"`      // between heartbeats to one peer
	Suspect        int    `toml:"suspect"`           // heartbeats in a row that may fail
	ListMS         int    `toml:"list_ms"`           // between reads of the instance list
	ClaimRetention int    `toml:"claim_retention_s"` // how long a key is remembered
}

// StopPart paces a planned stop.
type StopPart struct {
	NoticeMS int `toml:"notice_ms"` // not ready, but still taking work
	GraceMS  int `toml:"grace_ms"`  // then for work in progress to end
}

// LogPart sets the logs.
type LogPart struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// PolicyPart turns decisions off, for experiments; the product has them all on.
type PolicyPart struct {
	EarlyRefusal bool   `toml:"early_refusal"` // refuse what can't end in time
	Order        string `toml:"order"`         // fair, or arrival
	Window       bool   `toml:"window"`        // wait here rather than at targets
	Choice       string `toml:"choice"`        // load, or random
	Prefix       bool   `toml:"prefix"`        // engines by prompt prefix
	Claims       bool   `toml:"claims"`        // at most once; off only in tests
}

// Admin is the settings of hookhall-admin.
type Admin struct {
	Admin    AdminPart    `toml:"admin"`
	Platform PlatformPart `toml:"platform"`
	Fleet    FleetPart    `toml:"fleet"`
	Log      LogPart      `toml:"log"`
}

// AdminPart tells an admin where it listens and who may use it.
type AdminPart struct {
	Listen        string `toml:"listen"`         // IP:port that operators use
	OperatorToken string `toml:"operator_token"` // bearer token of operators
	AcceptMS      int    `toml:"accept_ms"`      // for an edit to be in force
}

// DefaultEntry has the defaults of all keys that have one.
func DefaultEntry() Entry {
	return Entry{
		Fleet:  defaultFleet(),
		Stop:   StopPart{NoticeMS: 2000, GraceMS: 30000},
		Log:    LogPart{Level: "info"},
		Policy: PolicyPart{EarlyRefusal: true, Order: "fair", Window: true, Choice: "load", Prefix: true, Claims: true},
	}
}

func defaultFleet() FleetPart {
	return FleetPart{HeartbeatMS: 500, Suspect: 3, ListMS: 2000, ClaimRetention: 600}
}

// DefaultAdmin is the same for an admin.
func DefaultAdmin() Admin {
	return Admin{
		Admin: AdminPart{AcceptMS: 5000},
		Fleet: defaultFleet(), Log: LogPart{Level: "info"},
	}
}

// Check returns what is wrong, as a list of Mistakes.
func (s *Entry) Check() []Mistake {
	c := &checker{}
	c.word("entry.instance", s.Entry.Instance)
	c.word("entry.hall", s.Entry.Hall)
	c.address("entry.callers", s.Entry.Callers)
	c.address("entry.peers", s.Entry.Peers)
	if s.Entry.Advertise != "" {
		c.address("entry.advertise", s.Entry.Advertise)
	}
	c.secret("entry.operator_token", s.Entry.OperatorToken)
	c.platform(s.Platform)
	c.fleet(s.Fleet)
	c.within("stop.notice_ms", s.Stop.NoticeMS, 0, 60000)
	c.within("stop.grace_ms", s.Stop.GraceMS, 0, 600000)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("policy.order", s.Policy.Order, "fair", "arrival")
	c.oneOf("policy.choice", s.Policy.Choice, "load", "random")
	return c.list
}

// Check returns what is wrong, as a list of Mistakes.
func (s *Admin) Check() []Mistake {
	c := &checker{}
	c.address("admin.listen", s.Admin.Listen)
	c.secret("admin.operator_token", s.Admin.OperatorToken)
	c.within("admin.accept_ms", s.Admin.AcceptMS, 100, 60000)
	c.platform(s.Platform)
	c.fleet(s.Fleet)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return c.list
}

// Mistake is one wrong value.
type Mistake struct {
	Key     string // section.key
	Message string
}

type checker struct{ list []Mistake }

func (c *checker) add(key, format string, args ...any) {
	c.list = append(c.list, Mistake{key, fmt.Sprintf(format, args...)})
}

func (c *checker) word(key, v string) {
	if v == "" || strings.ContainsAny(v, " \t\n#/") {
		c.add(key, "%q is not accepted; a name without spaces, # and / is", v)
	}
}

// secret wants enough characters that a token can't be guessed.
func (c *checker) secret(key, v string) {
	const shortest = 8
	if len(v) < shortest {
		c.add(key, "it is shorter than %d characters", shortest)
	}
}

func (c *checker) address(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(key, "%q is not accepted; an IP number and a port are, as in 10.0.0.7:8080", v)
	}
}

func (c *checker) within(key string, v, low, high int) {
	if v < low || v > high {
		c.add(key, "%d is not accepted; %d to %d is", v, low, high)
	}
}

func (c *checker) oneOf(key, v string, words ...string) {
	for _, w := range words {
		if v == w {
			return
		}
	}
	c.add(key, "%q is not accepted; one of %s is", v, strings.Join(words, ", "))
}

func (c *checker) platform(p PlatformPart) {
	c.address("platform.key_value", p.KeyValue)
	c.address("platform.instances", p.Instances)
}

func (c *checker) fleet(f FleetPart) {
	c.secret("fleet.secret", f.Secret)
	c.within("fleet.heartbeat_ms", f.HeartbeatMS, 20, 10000)
	c.within("fleet.suspect", f.Suspect, 1, 20)
	c.within("fleet.list_ms", f.ListMS, 20, 60000)
	c.within("fleet.claim_retention_s", f.ClaimRetention, 1, 86400)
}

// Heartbeat is the time between heartbeats.
func (f FleetPart) Heartbeat() time.Duration { return time.Duration(f.HeartbeatMS) * time.Millisecond }

// List is the time between reads of the instance list.
func (f FleetPart) List() time.Duration { return time.Duration(f.ListMS) * time.Millisecond }

// Retention is how long a claim is kept.
func (f FleetPart) Retention() time.Duration { return time.Duration(f.ClaimRetention) * time.Second }

// checkable is a program's settings.
type checkable interface{ Check() []Mistake }

// Load reads a file into s, which holds the defaults, and checks it.
func Load(path string, s checkable) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return Parse(path, b, s)
}

// Parse is Load of bytes.
func Parse(path string, b []byte, s checkable) error {
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return located(path, err)
	}
	var lines []string
	for _, m := range s.Check() {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", path, lineOf(b, m.Key), m.Key, m.Message))
	}
	if len(lines) > 0 {
		return errors.New(strings.Join(lines, "\n"))
	}
	return nil
}

// located turns the decoder's errors into lines with positions.
func located(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []string
		for _, e := range strict.Errors {
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown key; docs/OPERATING.md lists the keys", path, row, strings.Join(e.Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		return errors.Errorf("%s:%d: %s: %v", path, row, strings.Join(wrong.Key(), "."), wrong)
	}
	return errors.Errorf("%s: %v", path, err)
}

// lineOf finds the line of section.key; a key that is missing is reported at
// its section, or at line 1.
func lineOf(b []byte, key string) int {
	section, name, _ := strings.Cut(key, ".")
	at, current := 1, ""
	for i, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[] \t")
			if current == section {
				at = i + 1
			}
			continue
		}
		if k, _, ok := strings.Cut(line, "="); ok && current == section && strings.TrimSpace(k) == name {
			return i + 1
		}
	}
	return at
}
