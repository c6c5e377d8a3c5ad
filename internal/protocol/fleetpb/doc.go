// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package fleetpb contains the generated code of the messages between gateways, which
// fleet.proto documents: stage work for brokers, placements, and updates of the
// platform's store. Regenerate it with "make generate".
package fleetpb
