// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhallctl is the operators' command line: it reads and edits the
// operators' table and shows the state of the fleet.
package main

import "github.com/hookhall/hookhall/cmd/hookhallctl/cmd"

func main() { cmd.Main() }
