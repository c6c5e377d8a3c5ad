// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"time"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/standin"
)

type kvCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen at."`
}

// Execute implements flags.Commander. It serves the key-value service until SIGTERM
// or SIGINT.
func (c *kvCommand) Execute([]string) error {
	server, err := standin.Listen(c.Listen, standin.NewKeyValue())
	if err != nil {
		return err
	}
	return serveUntilSignal("kv", server)
}

type instancesCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen at."`
	Lag    time.Duration `long:"lag" default:"1s" description:"How late changes are shown."`
}

// Execute implements flags.Commander. It serves the instance list until SIGTERM or
// SIGINT.
func (c *instancesCommand) Execute([]string) error {
	server, err := standin.Listen(c.Listen, standin.NewInstances(c.Lag))
	if err != nil {
		return err
	}
	return serveUntilSignal("instances", server)
}

// serveUntilSignal prints the servers' addresses, waits for SIGTERM or SIGINT and
// closes the servers. The line "NAME listening at ADDRESS" is parsed by scripts.
func serveUntilSignal(name string, servers ...*standin.Server) error {
	for _, server := range servers {
		fmt.Printf("%s listening at %s\n", name, server.Address)
	}
	stop, _ := cli.Signals()
	<-stop.Done()
	for _, server := range servers {
		server.Close()
	}
	return nil
}
