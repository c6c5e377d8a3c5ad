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

// Execute implements flags.Commander.
func (c *kvCommand) Execute([]string) error {
	s, err := standin.Listen(c.Listen, standin.NewKeyValue())
	if err != nil {
		return err
	}
	return untilSignal("kv", s)
}

type instancesCommand struct {
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen at."`
	Lag    time.Duration `long:"lag" default:"1s" description:"How late changes are shown."`
}

// Execute implements flags.Commander.
func (c *instancesCommand) Execute([]string) error {
	s, err := standin.Listen(c.Listen, standin.NewInstances(c.Lag))
	if err != nil {
		return err
	}
	return untilSignal("instances", s)
}

func untilSignal(name string, servers ...*standin.Server) error {
	for _, s := range servers {
		fmt.Printf("%s listening at %s\n", name, s.Address)
	}
	first, _ := cli.Signals()
	<-first.Done()
	for _, s := range servers {
		s.Close()
	}
	return nil
}
