// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Rollout describes how operators want the requests of a service moved to targets of
// another version, which run beside the old ones.
type Rollout struct {
	Service string
	Version string // of the new targets' software
	// Time is how long after its creation the rollout should be completed or rolled back.
	Time time.Duration
	// Revision is the store's revision at the creation of the rollout. A rollout with a
	// higher one replaces this one for the same service.
	Revision Revision
}

// RolloutState is the state of a Rollout that is shown to operators.
type RolloutState string

// The states of a Rollout. RolloutCompleted and RolloutRolledBack are final.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled back"
)

// Final reports whether the Rollout has ended, after which its state does not change.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutStatus is the state of a service's Rollout to Version.
type RolloutStatus struct {
	Version string
	State   RolloutState
}

// RolloutSchema defines the keys of Rollouts in a store, and how their values are decoded
// and encoded.
type RolloutSchema interface {
	// Rollout decodes a Rollout, without its Revision. ok is false if the key is not that
	// of a Rollout.
	Rollout(key string, value []byte) (rollout Rollout, ok bool, err error)
	// RolloutService returns the service of the Rollout with a key. ok is false if the key
	// is not that of a Rollout.
	RolloutService(key string) (service string, ok bool)
	// StatusKey returns the key of the RolloutStatus of a service.
	StatusKey(service string) string
	// ReadStatus decodes the value of a StatusKey.
	ReadStatus(value []byte) (RolloutStatus, error)
	// WriteStatus encodes the value of a StatusKey.
	WriteStatus(s RolloutStatus) ([]byte, error)
}
