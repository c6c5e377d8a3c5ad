// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package load generates open-loop load, summarizes its outcomes, and audits them
// against the ledgers of stand-in targets.
//
// # Model
//
// A Profile is a weighted mix of kinds of request. Arrivals are drawn from a seed
// before the run, so that variants are compared on the same load. Every request
// carries a tag as the last word of its input. Stand-ins keep the tag and derive the
// answer from stage and input (see standin.Transform), so that the complete answer can be
// checked.
//
// # Invariants
//
//   - Arrivals never wait for answers.
//   - A request without a complete answer or a final problem document is counted
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
	Account    string // client account that sends it
	Pipeline   string
	Weight     float64 // share of the arrivals, relative to the other kinds
	Tokens     int     // maximum number of tokens; 0 if the last stage does not stream
	DeadlineMS int
	Repeatable bool // may run more than once; else it is sent with an idempotency key
	Stream     bool // asks for a streamed answer
}

// Step is one stage of a pipeline in a profile's table.
type Step struct {
	Name    string
	Pool    string
	Pure    bool // has no side effects, so that it may run more than once
	Streams bool // its targets answer token by token
}

// Profile is a mix of requests with the accounts and pipelines that it needs in the table.
type Profile struct {
	Name      string
	Kinds     []Kind
	Accounts  []Account
	Pipelines map[string][]Step
}

// Account is a row of the table's accounts sheet. Rate is in requests per second; 0 leaves
// Rate or Concurrency unlimited.
type Account struct {
	Name        string
	Priority    int
	Weight      float64
	DeadlineMS  int
	Rate        float64
	Concurrency int
}

// Key returns the secret key that the account sends in tests and demos.
func (a Account) Key() string { return "key-of-" + a.Name }

// ragSteps is a pipeline of retrieval-augmented generation: an engine generates from
// retrieved and reranked documents.
var ragSteps = []Step{
	{"encode", "encoders", true, false},
	{"retrieve", "retrievers", true, false},
	{"rerank", "rerankers", true, false},
	{"generate", "engines", false, true},
}

// Fuel returns a profile like that of an association of fuel card issuers: approvals that a
// driver waits for, explanations, and dispute summaries with hard deadlines.
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

// Venue returns a profile like that of a service that shows highlights in venues: captions
// that are billed once, recaps that screens wait for, and replays from a plain service.
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

// Mixed returns a profile with all requests of Fuel and Venue.
func Mixed() Profile {
	fuel, venue := Fuel(), Venue()
	mixed := Profile{Name: "mixed", Pipelines: map[string][]Step{}}
	for _, profile := range []Profile{fuel, venue} {
		mixed.Kinds = append(mixed.Kinds, profile.Kinds...)
		mixed.Accounts = append(mixed.Accounts, profile.Accounts...)
		for n, s := range profile.Pipelines {
			mixed.Pipelines[n] = s
		}
	}
	return mixed
}

// ProfileNamed returns the profile fuel, venue or mixed, and an error for other names.
func ProfileNamed(name string) (Profile, error) {
	for _, p := range []Profile{Fuel(), Venue(), Mixed()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("unknown profile %q; there are fuel, venue and mixed", name)
}

// TableEdits returns the edits that write the profile's accounts and pipelines into the
// table. They are forced, so that they apply whatever the cells hold.
func (p Profile) TableEdits() []hookhall.Edit {
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

// StreamsByPool reports for each of the profile's pools, by name, whether its targets stream.
func (p Profile) StreamsByPool() map[string]bool {
	pools := map[string]bool{}
	for _, steps := range p.Pipelines {
		for _, s := range steps {
			pools[s.Pool] = s.Streams
		}
	}
	return pools
}

// ExpectedOutput returns the only correct output of a request whose targets are all
// stand-ins.
func (p Profile) ExpectedOutput(k Kind, input string) string {
	for _, s := range p.Pipelines[k.Pipeline] {
		tokens := 0
		if s.Streams {
			tokens = max(k.Tokens, 1)
		}
		input = standin.Output(s.Name, input, tokens)
	}
	return input
}

// sideEffectStages returns the stages of a kind's pipeline that must not run twice.
func (p Profile) sideEffectStages(k Kind) map[string]bool {
	stages := map[string]bool{}
	for _, s := range p.Pipelines[k.Pipeline] {
		if !s.Pure {
			stages[s.Name] = true
		}
	}
	return stages
}

// templatesPerKind is the number of distinct prompt templates, and so of prefixes, of a kind
// of request.
const templatesPerKind = 16

// Input returns the input of a request: one of the kind's prompt templates, which is longer
// than the prefix that prompt caches match on, and the tag as the last word.
func Input(k Kind, tag string) string {
	template := xxhash.Sum64String(tag) % templatesPerKind
	return fmt.Sprintf("%s-template-%02d %s %s", k.Name, template, strings.Repeat("some words ", 8), tag)
}
