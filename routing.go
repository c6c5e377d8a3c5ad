// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Routing is the operators' table in the form that a gateway uses: which
// requests exist, who may send them, and which targets serve them. It is
// immutable once published.
type Routing struct {
	// Version is assigned by the operators and only increases.
	Version  int64
	Routes   []Route
	Services []Service
	// Accounts are the client accounts; if there are none, no request needs a key.
	Accounts []AccountKeys
	Limits   RequestLimits
}

// RouteKind determines whether requests of a route may run more than once.
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

// Route is one kind of request, selected by a host and a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer has its full value: the time
	// until the answer, or until its first event on a streaming route.
	LatencyObjective time.Duration
	// StallTimeout is how long a client waits for the first event or for the next one
	// before it disconnects; 0 if it waits as long as for the complete answer.
	StallTimeout time.Duration
	// MaxEventGap is the longest pause between events that meets the objective; 0 when none is set.
	MaxEventGap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Backends are the services that run the request, chosen by weight.
	Backends []WeightedService
	// MaxAttempts limits the number of targets that one request may run on.
	MaxAttempts int
	// Stages must be completed before the request may run.
	Stages []StageSpec
	// Public is set for routes whose requests need no key.
	Public bool
	// Resumable is set when a stream may continue at another target.
	Resumable bool
	// Regions are where the route's requests may run; none means everywhere.
	Regions []string
}

// Repeatable reports whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStreaming && r.Resumable)
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int // relative to the sum of the route's weights
}

// StageSpec is one stage of a route. Stages are numbered from 0 and depend only
// on earlier ones.
type StageSpec struct {
	Service string
	// InputStages lists the numbers of the stages whose results this one reads.
	InputStages []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes float64
}

// Service is a pool of targets of the same kind.
type Service struct {
	Name     string
	MaxConns int // connections that a target accepts from all callers together
	// ColdRate is how many requests per second from the whole fleet a cold target can
	// serve, and ColdTime how long a target is cold after its start; 0 when the
	// service's targets are never cold.
	ColdRate float64
	ColdTime time.Duration
	// Engine is set for model engines, nil for other services.
	Engine *EngineSpec
	// Pool is set for stage pools, nil for other services.
	Pool *PoolSpec
}

// EngineSpec describes the targets of a model engine, as configured by the operators.
type EngineSpec struct {
	Slots        int // requests in one batch
	MemoryTokens int // tokens held by running requests and cached prompt parts
}

// PoolSpec describes the targets of a stage pool, as configured by the operators.
type PoolSpec struct {
	Slots           int           // calls that run at the same time
	MaxQueued       int           // calls that may be queued
	MaxBatch        int           // maximum number of pieces in a call
	CallTime        time.Duration // fixed duration of a call, to which PieceTime is added per piece
	PieceTime       time.Duration // approximate duration of a piece
	ResultMemory    float64       // memory for results, in bytes
	ResultRetention time.Duration // how long the target keeps an unclaimed result
}

// AccountKeys is a client account with its credentials.
type AccountKeys struct {
	Name     string
	Keys     []string
	Priority int // 0 is the most urgent
	// Regions are where the account's requests may run; none means everywhere.
	Regions []string
}

// RequestLimits limit what a client may send. Zero means no limit.
type RequestLimits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
