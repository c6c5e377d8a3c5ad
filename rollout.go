// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Rollout is the operators' order to move the requests of a service to targets of
// another version, which run beside the old ones.
type Rollout struct {
	Service string
	Version string // of the new targets' software
	// Time is how long after the order it should be completed, or rolled back.
	Time time.Duration
	// Revision is the store's at the order; a later one for the service takes its place.
	Revision Revision
}

// RolloutState is what operators are told of a Rollout.
type RolloutState string

// The states. One that is final does not change any more.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled back"
)

// Final tells whether a Rollout has ended.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutStatus is the state of the Rollout to a version.
type RolloutStatus struct {
	Version string
	State   RolloutState
}

// RolloutKeys tells where Rollouts lie in a store and how they are read and written.
type RolloutKeys interface {
	// Rollout reads an order; ok is false for keys of other matters. The revision is left
	// out.
	Rollout(key string, value []byte) (order Rollout, ok bool, err error)
	// RolloutService is the service that a key orders a Rollout of; ok is false for keys
	// of other matters.
	RolloutService(key string) (service string, ok bool)
	// StatusKey is where the state of a service's Rollout is told.
	StatusKey(service string) string
	ReadStatus(value []byte) (RolloutStatus, error)
	WriteStatus(s RolloutStatus) ([]byte, error)
}
