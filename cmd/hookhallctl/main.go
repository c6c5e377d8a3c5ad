// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhallctl is the operators' command line.
package main

import "github.com/hookhall/hookhall/cmd/hookhallctl/cmd"

func main() { cmd.Main() }
