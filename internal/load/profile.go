// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package load makes open-loop load, measures what became of it, and audits
// the targets' ledgers.
//
// # Model
//
// A Profile is a weighted mix of kinds of request. Arrivals are drawn from a
// seed before the run, so that variants are compared on the same ones. Every
// request carries a tag as the last word of its input; stand-ins keep it and
// answer by a known function, so that the whole answer can be checked.
//
// # Invariants
//
//   - Arrivals never wait for answers.
//   - A request without a whole answer or a final problem document is counted
//     as lost, whatever the reason.
package load

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
)

// Kind is one kind of request in a profile.
type Kind struct {
	Name       string
	Account    string
	Pipeline   string
	Weight     float64
	Tokens     int
	DeadlineMS int
	Repeatable bool
	Stream     bool
}

// Step is one stage of a pipeline as a profile's table has it.
type Step struct {
	Name    string
	Pool    string
	Pure    bool
	Streams bool
}

// Profile is a mix of requests with the table that it needs.
type Profile struct {
	Name      string
	Kinds     []Kind
	Accounts  []Account
	Pipelines map[string][]Step
}

// Account is a row of the accounts sheet.
type Account struct {
	Name        string
	Priority    int
	Weight      float64
	DeadlineMS  int
	Rate        float64
	Concurrency int
}

// Key is the account's key in tests and demos.
func (a Account) Key() string { return "key-of-" + a.Name }

var ragSteps = []Step{
	{"encode", "encoders", true, false},
	{"retrieve", "retrievers", true, false},
	{"rerank", "rerankers", true, false},
	{"generate", "engines", false, true},
}

// Fuel is like an issuers' association: approvals that a driver waits for,
// explanations, and dispute summaries with hard deadlines.
func Fuel() Profile {
	return Profile{
		Name: "fuel",
		Accounts: []Account{
			{Name: "station-gateway", Priority: 8, Weight: 4, DeadlineMS: 500},
			{Name: "fleet-portal", Priority: 5, Weight: 2, DeadlineMS: 1000},
			{Name: "member-bank", Priority: 5, Weight: 2, DeadlineMS: 1000},
			{Name: "settlement", Priority: 3, Weight: 1, DeadlineMS: 2000},
		},
		Pipelines: map[string][]Step{
			"approve": {{"encode", "encoders", true, false}, {"authorise", "authorisation", false, false}},
			"explain": ragSteps,
			"dispute": ragSteps,
		},
		Kinds: []Kind{
			{"approve", "station-gateway", "approve", 4, 0, 500, false, false},
			{"explain", "fleet-portal", "explain", 2, 16, 1000, true, true},
			{"explain-bank", "member-bank", "explain", 2, 16, 1000, true, true},
			{"dispute", "settlement", "dispute", 2, 32, 2000, true, true},
		},
	}
}

// Venue is like a highlights network: captions that are billed once, recaps
// that screens wait for, and replays from a plain service.
func Venue() Profile {
	return Profile{
		Name: "venue",
		Accounts: []Account{
			{Name: "partners", Priority: 7, Weight: 3, DeadlineMS: 1000},
			{Name: "venues", Priority: 5, Weight: 2, DeadlineMS: 1000},
			{Name: "sponsors", Priority: 2, Weight: 1, DeadlineMS: 2000},
		},
		Pipelines: map[string][]Step{
			"caption": ragSteps,
			"recap":   ragSteps,
			"replay":  {{"replay", "replays", false, false}},
		},
		Kinds: []Kind{
			{"caption", "partners", "caption", 3, 12, 1000, false, true},
			{"recap", "venues", "recap", 3, 24, 1000, true, true},
			{"replay", "venues", "replay", 2, 0, 500, true, false},
			{"note", "sponsors", "recap", 2, 24, 2000, true, true},
		},
	}
}

// Mixed has both.
func Mixed() Profile {
	f, v := Fuel(), Venue()
	m := Profile{Name: "mixed", Pipelines: map[string][]Step{}}
	for _, p := range []Profile{f, v} {
		m.Kinds = append(m.Kinds, p.Kinds...)
		m.Accounts = append(m.Accounts, p.Accounts...)
		for n, s := range p.Pipelines {
			m.Pipelines[n] = s
		}
	}
	return m
}

// Named finds a profile.
func Named(name string) (Profile, error) {
	for _, p := range []Profile{Fuel(), Venue(), Mixed()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("unknown profile %q; there are fuel, venue and mixed", name)
}

// Edits are the table that the profile needs.
func (p Profile) Edits() []hookhall.Edit {
	var edits []hookhall.Edit
	set := func(s hookhall.Sheet, row, column, value string) {
		edits = append(edits, hookhall.Edit{Sheet: s, Row: row, Column: column, Value: value, Force: true})
	}
	for _, a := range p.Accounts {
		set(hookhall.SheetAccounts, a.Name, "key_sha256", hashKey(a.Key()))
		set(hookhall.SheetAccounts, a.Name, "priority", fmt.Sprint(a.Priority))
		set(hookhall.SheetAccounts, a.Name, "weight", fmt.Sprint(a.Weight))
		set(hookhall.SheetAccounts, a.Name, "deadline_ms", fmt.Sprint(a.DeadlineMS))
		if a.Rate > 0 {
			set(hookhall.SheetAccounts, a.Name, "rate", fmt.Sprint(a.Rate))
		}
		if a.Concurrency > 0 {
			set(hookhall.SheetAccounts, a.Name, "concurrency", fmt.Sprint(a.Concurrency))
		}
	}
	for name, steps := range p.Pipelines {
		for i, s := range steps {
			row := fmt.Sprintf("%s/%d-%s", name, i+1, s.Name)
			set(hookhall.SheetStages, row, "pool", s.Pool)
			set(hookhall.SheetStages, row, "pure", fmt.Sprint(s.Pure))
		}
	}
	return edits
}

// Pools names the profile's pools and whether they stream.
func (p Profile) Pools() map[string]bool {
	pools := map[string]bool{}
	for _, steps := range p.Pipelines {
		for _, s := range steps {
			pools[s.Pool] = s.Streams
		}
	}
	return pools
}

// Expected is the answer that a request must get, if its targets are stand-ins.
func (p Profile) Expected(k Kind, input string) string {
	for _, s := range p.Pipelines[k.Pipeline] {
		tokens := 0
		if s.Streams {
			tokens = max(k.Tokens, 1)
		}
		input = standin.Output(s.Name, input, tokens)
	}
	return input
}

// effects are the stages of a kind's pipeline that must not run twice.
func (p Profile) effects(k Kind) map[string]bool {
	stages := map[string]bool{}
	for _, s := range p.Pipelines[k.Pipeline] {
		if !s.Pure {
			stages[s.Name] = true
		}
	}
	return stages
}

// templates is how many prompt templates a kind of request has.
const templates = 16

// Input is the input of a request with a tag: a template, longer than what
// counts as a prompt's prefix, and the tag.
func Input(k Kind, tag string) string {
	n := xxhash.Sum64String(tag) % templates
	return fmt.Sprintf("%s-template-%02d %s %s", k.Name, n, strings.Repeat("some words ", 8), tag)
}
