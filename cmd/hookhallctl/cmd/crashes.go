// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hookhall/hookhall/internal/app/gateway"
	"github.com/pkg/errors"
)

const crashesDescription = `Shows the requests that a gateway refuses because targets crashed while running
them, by the digest of their content; all gateways refuse the same ones. With --lift,
all gateways serve the content again. GATEWAY is the address in a gateway's setting
gateway.metrics.

Examples:
  hookhallctl crashes 10.1.0.26:7735
  hookhallctl crashes 10.1.0.26:7735 --lift 71ace52ce2b8f1c93b84b03533d703eb`

type crashesCommand struct {
	Lift string `long:"lift" description:"Have this content served again." value-name:"CONTENT"`
	Args struct {
		Gateway string `positional-arg-name:"GATEWAY" required:"true"`
	} `positional-args:"true"`
}

// crashesTimeout bounds one call to a gateway, from connecting to the last byte
// of the answer.
const crashesTimeout = 5 * time.Second

// Execute implements flags.Commander. It releases the content of --lift, or
// lists the refused contents.
func (c *crashesCommand) Execute([]string) error {
	if c.Lift != "" {
		_, err := c.callGateway(http.MethodDelete, "/crashes/"+url.PathEscape(c.Lift))
		return err
	}
	body, err := c.callGateway(http.MethodGet, "/crashes")
	if err != nil {
		return err
	}
	var list []gateway.RefusedContent
	if err := json.Unmarshal(body, &list); err != nil {
		return errors.Wrap(err, "crashes")
	}
	if options.JSON {
		return printJSON(list)
	}
	return printCrashes(list)
}

// printCrashes prints one line for each refused content or set of parts.
func printCrashes(list []gateway.RefusedContent) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CONTENT\tPARTS\tACCOUNT\tSINCE\tSOFTWARE\tTARGETS")
	for _, r := range list {
		since := time.Duration(r.AgeMS) * time.Millisecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", r.Content, strings.Join(r.Parts, " "), r.Account, since.Round(time.Second), strings.Join(r.Software, ", "), strings.Join(r.Targets, " "))
	}
	return table.Flush()
}

// callGateway calls the gateway and returns the body of its answer. A status other
// than 200 is an error with that body as its text.
func (c *crashesCommand) callGateway(method, path string) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+c.Args.Gateway+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "crashes")
	}
	resp, err := (&http.Client{Transport: transport, Timeout: crashesTimeout}).Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "crashes")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(body)))
	}
	return body, errors.Wrap(err, "crashes")
}
