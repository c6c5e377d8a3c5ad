// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"fmt"

	"github.com/hookhall/hookhall/internal/app/settings"
)

// Policy is one step from the baseline to the product: each has all that those
// before it have.
type Policy struct {
	Name   string
	Says   string
	Adjust func(*settings.PolicyPart)
}

// Policies in order: every step adds one thing.
var Policies = []Policy{
	{"baseline", "first come first served, random target, no early refusal", func(p *settings.PolicyPart) {
		*p = settings.PolicyPart{Order: "arrival", Choice: "random", Claims: true}
	}},
	{"clock", "and early refusal by one clock", func(p *settings.PolicyPart) {
		*p = settings.PolicyPart{Order: "arrival", Choice: "random", Claims: true, EarlyRefusal: true}
	}},
	{"window", "and waiting at the entry, by windows", func(p *settings.PolicyPart) {
		*p = settings.PolicyPart{Order: "arrival", Choice: "random", Claims: true, EarlyRefusal: true, Window: true}
	}},
	{"order", "and priority, fair shares, slack", func(p *settings.PolicyPart) {
		*p = settings.PolicyPart{Order: "fair", Choice: "random", Claims: true, EarlyRefusal: true, Window: true}
	}},
	{"routing", "and targets by load", func(p *settings.PolicyPart) {
		*p = settings.PolicyPart{Order: "fair", Choice: "load", Claims: true, EarlyRefusal: true, Window: true}
	}},
	{"product", "and engines by prefix", func(p *settings.PolicyPart) {
		*p = settings.PolicyPart{Order: "fair", Choice: "load", Claims: true, EarlyRefusal: true, Window: true, Prefix: true}
	}},
}

// PolicyNamed finds a policy.
func PolicyNamed(name string) (Policy, error) {
	for _, p := range Policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q", name)
}
