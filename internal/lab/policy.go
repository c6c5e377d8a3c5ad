// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"fmt"

	"github.com/hookhall/hookhall/internal/app/settings"
)

// Policy is a variant of the entries' settings. The policies are cumulative steps from a
// baseline to the product: each one has the features of those before it.
type Policy struct {
	Name        string
	Description string                        // what the step adds
	Adjust      func(*settings.PolicySection) // replaces the section
}

// Policies has the steps from the baseline to the product, in order.
var Policies = []Policy{
	{"baseline", "first come, first served; random target; no early refusal", func(p *settings.PolicySection) {
		*p = settings.PolicySection{Order: "arrival", Choice: "random", Claims: true}
	}},
	{"clock", "adds early refusal of requests that can't end before their deadline", func(p *settings.PolicySection) {
		*p = settings.PolicySection{Order: "arrival", Choice: "random", Claims: true, EarlyRefusal: true}
	}},
	{"window", "adds queueing at the entry instead of at the targets, with windows", func(p *settings.PolicySection) {
		*p = settings.PolicySection{Order: "arrival", Choice: "random", Claims: true, EarlyRefusal: true, Window: true}
	}},
	{"order", "adds the order by priority, fair share and slack", func(p *settings.PolicySection) {
		*p = settings.PolicySection{Order: "fair", Choice: "random", Claims: true, EarlyRefusal: true, Window: true}
	}},
	{"routing", "adds the choice of targets by load", func(p *settings.PolicySection) {
		*p = settings.PolicySection{Order: "fair", Choice: "load", Claims: true, EarlyRefusal: true, Window: true}
	}},
	{"product", "adds the choice of engines by prompt prefix", func(p *settings.PolicySection) {
		*p = settings.PolicySection{Order: "fair", Choice: "load", Claims: true, EarlyRefusal: true, Window: true, Prefix: true}
	}},
}

// PolicyNamed returns the policy of this name, or an error.
func PolicyNamed(name string) (Policy, error) {
	for _, p := range Policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q", name)
}
