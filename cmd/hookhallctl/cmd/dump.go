// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"net/http"

	"github.com/hookhall/hookhall/internal/transport/operators"
)

const dumpDescription = `Prints the state of one entry or admin as JSON.

Example:
  hookhallctl dump 10.0.0.7:8080`

type dumpCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It prints the state of the process at
// ADDRESS.
func (c *dumpCommand) Execute([]string) error {
	var state any
	if _, err := call(http.MethodGet, c.Args.Address, operators.PathState, nil, nil, &state); err != nil {
		return err
	}
	return printJSON(state)
}
