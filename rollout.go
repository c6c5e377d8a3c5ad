// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Rollout is the operators' order to move the requests of a service to targets of
// another version, which run beside the old ones.
type Rollout struct {
	Service string
	Version string // of the new targets' software
	// Time is how long after the order the rollout should be completed or rolled back.
	Time time.Duration
	// Revision is the store's revision at the order. An order with a higher one
	// replaces this one for the same service.
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

// RolloutStatus is the state of the Rollout to a version.
type RolloutStatus struct {
	Version string
	State   RolloutState
}

// RolloutSchema defines the keys of Rollouts in a store, and how their values are decoded
// and encoded.
type RolloutSchema interface {
	// Rollout decodes an order, without its Revision. ok is false if the key is not that
	// of an order.
	Rollout(key string, value []byte) (order Rollout, ok bool, err error)
	// RolloutService returns the service of the order with a key. ok is false if the key
	// is not that of an order.
	RolloutService(key string) (service string, ok bool)
	// StatusKey returns the key of the RolloutStatus of a service.
	StatusKey(service string) string
	// ReadStatus decodes the value of a StatusKey.
	ReadStatus(value []byte) (RolloutStatus, error)
	// WriteStatus encodes the value of a StatusKey.
	WriteStatus(s RolloutStatus) ([]byte, error)
}
