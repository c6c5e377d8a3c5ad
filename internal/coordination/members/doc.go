// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package members keeps the list of the gateways of the fleet and chooses owners of
// shared work among them.
//
// # Model
//
// Each process keeps a key under a lease in the platform's store. Two processes, the
// leaders, follow all keys with long-polling watches and send the changes to the
// others, together with the changes of the targets. Package catalog calls the same
// two the first and the second reader. A process that receives no update for some
// seconds, or whose digest shows that it has missed one, reads the list from the
// store itself. A peer that does not answer is suspected and excluded for a short
// time, whatever the store lists.
//
// Shared work, named by a key, has one owner among the members that are eligible: strong
// enough, not lagging, and not cut off from the targets. A lagging process declines
// ownership until its timers fire on time again, and one that can't connect to targets,
// which others can, until it can. The roles, which are brokers and placement owners of services, are spread
// over the eligible members.
//
// A process that the store does not answer learns the list from the leaders' updates and, if
// it lacks earlier changes, by reading it from a leader. A process that is missing from the
// list it knows owns nothing while another member is available.
//
// # Invariants
//
//   - Membership only divides work. A wrong list costs time, never a guarantee:
//     nothing may depend on two processes having the same list.
//   - This process is always in its own list, unless it stops.
package members
