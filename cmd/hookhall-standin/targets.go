// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
)

type targetsCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:0" description:"IP:port of the first target; the others take the ports after it, or free ones for port 0."`
	List     string        `long:"list" description:"Instance list to announce the targets at."`
	Pool     string        `long:"pool" required:"true" description:"Pool that the targets belong to."`
	Hall     string        `long:"hall" default:"hall-1" description:"Hall of the targets."`
	Count    int           `long:"count" default:"1" description:"Number of targets."`
	Capacity int           `long:"capacity" default:"8" description:"Calls that a target runs at once."`
	Queue    int           `long:"queue" default:"0" description:"Calls that may wait; 0 for no bound."`
	Time     time.Duration `long:"time" default:"5ms" description:"Time of a call, or of an engine's prefill."`
	Token    time.Duration `long:"token" default:"0s" description:"Time of a token; makes the targets engines."`
	Cache    int           `long:"cache" default:"0" description:"Prompt prefixes that an engine keeps."`
	Lag      time.Duration `long:"lag" default:"200ms" description:"Age of load reports."`
}

// Execute implements flags.Commander. It serves --count targets until SIGTERM or
// SIGINT.
func (c *targetsCommand) Execute([]string) error {
	var servers []*standin.Server
	for i := 0; i < c.Count; i++ {
		server, err := c.start(i)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	return serveUntilSignal(c.Pool, servers...)
}

// start serves the target with index i and announces it at the instance list, if
// one is set.
func (c *targetsCommand) start(i int) (*standin.Server, error) {
	address, err := nthAddress(c.Listen, i)
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("%s-%s-%d", c.Pool, c.Hall, i)
	server, err := standin.Listen(address, standin.NewTarget(standin.TargetSettings{
		ID: id, Capacity: c.Capacity, MaxQueued: c.Queue, CallTime: c.Time, TokenTime: c.Token, CachedPrefixes: c.Cache, ReportLag: c.Lag,
	}))
	if err != nil || c.List == "" {
		return server, err
	}
	return server, standin.Announce(c.List, hookhall.Instance{
		ID: id, Role: hookhall.RoleTarget, Hall: c.Hall, Pool: c.Pool, Address: server.Address,
		Streams: c.Token > 0, State: hookhall.InstanceLive,
	})
}

// nthAddress returns the address whose port is i above that of first. Port 0, which
// means any free port, stays 0.
func nthAddress(first string, i int) (string, error) {
	host, port, err := net.SplitHostPort(first)
	if err != nil {
		return "", err
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	if portNumber > 0 {
		portNumber += i
	}
	return net.JoinHostPort(host, strconv.Itoa(portNumber)), nil
}
