// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package fleetpb is the generated code of the messages between gateways
// (fleet.proto): brokered stage work, and news of the platform's store.
package fleetpb
