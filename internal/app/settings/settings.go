// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package settings reads the TOML settings of hookhall's programs.
//
// # Model
//
// Each program has one struct, whose tags name the keys. Its comments document them,
// and for entries and admins a test checks that docs/OPERATING.md lists them. A file is
// rejected as a whole for an unknown key, a value of the wrong type or a value out of
// range. The error has one line for each invalid value: file, line, key, and what would
// be accepted.
//
// # Invariants
//
//   - Addresses consist of an IP address and a port. Host names are rejected and never
//     resolved.
//   - Reading settings has no side effects, so that --check-config runs the same code as
//     a start.
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

// Entry has the settings of hookhall-entry.
type Entry struct {
	Entry    EntrySection    `toml:"entry"`
	Platform PlatformSection `toml:"platform"`
	Fleet    FleetSection    `toml:"fleet"`
	Stop     StopSection     `toml:"stop"`
	Log      LogSection      `toml:"log"`
	Policy   PolicySection   `toml:"policy"`
}

// EntrySection identifies an entry process and its instance, and has its addresses.
type EntrySection struct {
	Instance      string `toml:"instance"`       // the platform's name of this instance
	Hall          string `toml:"hall"`           // the hall of this instance
	Callers       string `toml:"callers"`        // IP:port that callers use
	Peers         string `toml:"peers"`          // IP:port that peers use
	Advertise     string `toml:"advertise"`      // IP:port at which peers reach Peers if it differs; "" if not
	OperatorToken string `toml:"operator_token"` // bearer token for state dumps and metrics, 8 characters or more
	MemoryMB      int    `toml:"memory_mb"`      // memory that the process may use, in MiB
}

// PlatformSection has the addresses of the platform's services.
type PlatformSection struct {
	KeyValue  string `toml:"key_value"` // IP:port of the key-value service
	Instances string `toml:"instances"` // IP:port of the instance list
}

// FleetSection has the settings that all processes of a fleet share.
type FleetSection struct {
	Secret          string `toml:"secret"`            // shared by the fleet's processes, 8 characters or more
	HeartbeatMS     int    `toml:"heartbeat_ms"`      // ms between heartbeats to one peer
	Suspect         int    `toml:"suspect"`           // consecutive failed heartbeats after which other members probe the peer too
	ListMS          int    `toml:"list_ms"`           // ms between reads of the instance list
	ClaimRetentionS int    `toml:"claim_retention_s"` // seconds for which a claim is kept
}

// StopSection has the durations of a planned stop.
type StopSection struct {
	NoticeMS int `toml:"notice_ms"` // ms for which the entry is not ready, but accepts work
	GraceMS  int `toml:"grace_ms"`  // ms after that for work in progress to end
}

// LogSection has the settings of the log.
type LogSection struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// PolicySection selects policies, so that experiments can turn single ones off. The
// defaults, for production, have all of them on.
type PolicySection struct {
	EarlyRefusal bool   `toml:"early_refusal"` // refuse requests that can't finish before their deadline
	Order        string `toml:"order"`         // fair, or arrival
	Window       bool   `toml:"window"`        // requests wait at the entry rather than at targets
	Choice       string `toml:"choice"`        // load, or random
	Prefix       bool   `toml:"prefix"`        // choose engines by the prefix of the prompt
	Claims       bool   `toml:"claims"`        // run each request at most once; off only in tests
}

// Admin has the settings of hookhall-admin.
type Admin struct {
	Admin    AdminSection    `toml:"admin"`
	Platform PlatformSection `toml:"platform"`
	Fleet    FleetSection    `toml:"fleet"`
	Log      LogSection      `toml:"log"`
}

// AdminSection has the address of an admin process and the token of its users.
type AdminSection struct {
	Listen        string `toml:"listen"`         // IP:port that operators use
	OperatorToken string `toml:"operator_token"` // bearer token of operators, 8 characters or more
	AcceptMS      int    `toml:"accept_ms"`      // ms that an edit may take to be in force at the entries
}

// MaxAccept is the largest value of admin.accept_ms.
const MaxAccept = time.Minute

// The default and the range of the settings memory_mb, in MiB.
const (
	defaultMemoryMB = 256
	minMemoryMB     = 32
	maxMemoryMB     = 1 << 20
)

// DefaultEntry returns the defaults of all keys that have one; the other keys must be
// set.
func DefaultEntry() Entry {
	return Entry{
		Entry:  EntrySection{MemoryMB: defaultMemoryMB},
		Fleet:  defaultFleet(),
		Stop:   StopSection{NoticeMS: 2000, GraceMS: 30000},
		Log:    LogSection{Level: "info"},
		Policy: PolicySection{EarlyRefusal: true, Order: "fair", Window: true, Choice: "load", Prefix: true, Claims: true},
	}
}

func defaultFleet() FleetSection {
	return FleetSection{HeartbeatMS: 500, Suspect: 3, ListMS: 2000, ClaimRetentionS: 600}
}

// DefaultAdmin returns the defaults of all keys that have one; the other keys must be
// set.
func DefaultAdmin() Admin {
	return Admin{
		Admin: AdminSection{AcceptMS: 5000},
		Fleet: defaultFleet(), Log: LogSection{Level: "info"},
	}
}

// Validate returns all invalid values.
func (s *Entry) Validate() []InvalidValue {
	c := &checker{}
	c.name("entry.instance", s.Entry.Instance)
	c.name("entry.hall", s.Entry.Hall)
	c.address("entry.callers", s.Entry.Callers)
	c.address("entry.peers", s.Entry.Peers)
	if s.Entry.Advertise != "" {
		c.address("entry.advertise", s.Entry.Advertise)
	}
	c.secret("entry.operator_token", s.Entry.OperatorToken)
	c.inRange("entry.memory_mb", s.Entry.MemoryMB, minMemoryMB, maxMemoryMB)
	c.platform(s.Platform)
	c.fleet(s.Fleet)
	c.inRange("stop.notice_ms", s.Stop.NoticeMS, 0, 60000)
	c.inRange("stop.grace_ms", s.Stop.GraceMS, 0, 600000)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("policy.order", s.Policy.Order, "fair", "arrival")
	c.oneOf("policy.choice", s.Policy.Choice, "load", "random")
	return c.invalid
}

// Validate returns all invalid values.
func (s *Admin) Validate() []InvalidValue {
	c := &checker{}
	c.address("admin.listen", s.Admin.Listen)
	c.secret("admin.operator_token", s.Admin.OperatorToken)
	c.inRange("admin.accept_ms", s.Admin.AcceptMS, 100, int(MaxAccept.Milliseconds()))
	c.platform(s.Platform)
	c.fleet(s.Fleet)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return c.invalid
}

// InvalidValue has the key of an invalid value, and a message on what would be accepted.
type InvalidValue struct {
	Key     string // section.key
	Message string
}

// checker collects the invalid values of one program's settings.
type checker struct{ invalid []InvalidValue }

func (c *checker) add(key, format string, args ...any) {
	c.invalid = append(c.invalid, InvalidValue{key, fmt.Sprintf(format, args...)})
}

// name requires a name that is not empty and has no spaces, # or /. A # separates the
// instance's name from the rest of a member's ID.
func (c *checker) name(key, v string) {
	if v == "" || strings.ContainsAny(v, " \t\n#/") {
		c.add(key, "%q is not a valid name; it must not be empty nor contain spaces, # or /", v)
	}
}

// secret requires a minimum length, below which a token could be guessed.
func (c *checker) secret(key, v string) {
	const minLength = 8
	if len(v) < minLength {
		c.add(key, "it is shorter than %d characters", minLength)
	}
}

// address requires an IP address and a port.
func (c *checker) address(key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.add(key, "%q is not a valid address; it must be an IP address and a port, as in 10.0.0.7:8080", v)
	}
}

// inRange requires low <= v <= high.
func (c *checker) inRange(key string, v, low, high int) {
	if v < low || v > high {
		c.add(key, "%d is out of range; it must be %d to %d", v, low, high)
	}
}

// oneOf requires one of the allowed values.
func (c *checker) oneOf(key, v string, allowed ...string) {
	for _, word := range allowed {
		if v == word {
			return
		}
	}
	c.add(key, "%q is not a valid value; it must be one of %s", v, strings.Join(allowed, ", "))
}

func (c *checker) platform(p PlatformSection) {
	c.address("platform.key_value", p.KeyValue)
	c.address("platform.instances", p.Instances)
}

func (c *checker) fleet(f FleetSection) {
	c.secret("fleet.secret", f.Secret)
	c.inRange("fleet.heartbeat_ms", f.HeartbeatMS, 20, 10000)
	c.inRange("fleet.suspect", f.Suspect, 1, 20)
	c.inRange("fleet.list_ms", f.ListMS, 20, 60000)
	c.inRange("fleet.claim_retention_s", f.ClaimRetentionS, 1, 86400)
}

// HeartbeatInterval returns the time between heartbeats to one peer.
func (f FleetSection) HeartbeatInterval() time.Duration {
	return time.Duration(f.HeartbeatMS) * time.Millisecond
}

// ListInterval returns the time between reads of the instance list.
func (f FleetSection) ListInterval() time.Duration { return time.Duration(f.ListMS) * time.Millisecond }

// Retention returns how long a claim is kept.
func (f FleetSection) Retention() time.Duration {
	return time.Duration(f.ClaimRetentionS) * time.Second
}

// validator is implemented by the settings of each program.
type validator interface{ Validate() []InvalidValue }

// Load reads the settings file at path into s, which must hold the defaults, and checks
// the result. Its error has one line for each invalid value.
func Load(path string, s validator) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return Parse(path, b, s)
}

// Parse is like Load, but takes the content b of the file; path appears in errors only.
func Parse(path string, b []byte, s validator) error {
	decoder := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return withPosition(path, err)
	}
	var lines []string
	for _, invalid := range s.Validate() {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", path, lineOf(b, invalid.Key), invalid.Key, invalid.Message))
	}
	if len(lines) > 0 {
		return errors.New(strings.Join(lines, "\n"))
	}
	return nil
}

// withPosition turns an error of the decoder into lines with path, line and key.
func withPosition(path string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var lines []string
		for _, e := range unknownKeys.Errors {
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown key; docs/OPERATING.md lists the keys", path, row, strings.Join(e.Key(), ".")))
		}
		return errors.New(strings.Join(lines, "\n"))
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, _ := decodeError.Position()
		return errors.Errorf("%s:%d: %s: %v", path, row, strings.Join(decodeError.Key(), "."), decodeError)
	}
	return errors.Errorf("%s: %v", path, err)
}

// lineOf returns the line number, from 1, of key, which is "section.key". A key that is
// missing has the line of its section, or line 1 if that is missing too.
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
