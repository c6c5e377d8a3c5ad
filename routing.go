// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Routing is the operators' table in the form in which a gateway follows it:
// which requests exist, who may send them, and what serves them. It is
// immutable once published.
type Routing struct {
	// Version is the operators' own number; it only rises.
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts are the client accounts; without any, no request needs a key.
	Accounts []AccountKeys
	Limits   RequestLimits
}

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds of routes.
const (
	// KindSafe requests may run more than once.
	KindSafe RouteKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = "unsafe"
	// KindStreaming requests are answered by a series of events. They run at
	// most once unless the route is resumable.
	KindStreaming RouteKind = "streaming"
)

// Route is one kind of request: a host and the path's beginning.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest that a request may be held.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that earns
	// full worth.
	Objective time.Duration
	// Patience is how long a client waits for the first event, or the next one;
	// 0 for as long as it waits for the whole.
	Patience time.Duration
	// Gap is the longest pause between events; 0 when none is set.
	Gap time.Duration
	// Priority is the rank, 0 being the most urgent.
	Priority int
	// Backends are the services that run the request, by weight.
	Backends []WeightedService
	// MaxAttempts bounds the targets that one request may run on.
	MaxAttempts int
	// Stages are the work that must be done before the request may run.
	Stages []StageSpec
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
	// Regions are where the route's requests may run; none means everywhere.
	Regions []string
}

// Repeatable tells whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// StageSpec is one stage of a route. Stages are numbered from 0 and depend on
// earlier ones.
type StageSpec struct {
	Service string
	// After lists the stages whose results this one reads.
	After []int
	// Bytes is roughly the size of one result.
	Bytes float64
}

// Service is a pool of alike targets.
type Service struct {
	Name     string
	MaxConns int // connections a target takes from all callers together
	// ColdRate is how many requests a second a cold target bears from the whole
	// fleet, and ColdTime how long it stays cold after a start; 0 when the
	// service's targets are never cold.
	ColdRate float64
	ColdTime time.Duration
	// Engine is set for model engines.
	Engine *EngineSpec
	// Pool is set for stage pools.
	Pool *PoolSpec
}

// EngineSpec is what the operators tell of a model engine.
type EngineSpec struct {
	Slots  int // requests in one batch
	Memory int // tokens held by running requests and cached parts
}

// PoolSpec is what the operators tell of a stage pool's targets.
type PoolSpec struct {
	Slots    int           // calls at work at once
	Queue    int           // calls that may wait
	Batch    int           // most pieces in a call
	CallTime time.Duration // a call's own time
	ItemTime time.Duration // a piece's time, roughly
	Room     float64       // bytes for results
	Keep     time.Duration // how long an unclaimed result is kept
}

// AccountKeys is a client account with its credentials.
type AccountKeys struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent
	// Regions are where the account's requests may run; none means everywhere.
	Regions []string
}

// RequestLimits bound what a client may send. Zero means no limit.
type RequestLimits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
