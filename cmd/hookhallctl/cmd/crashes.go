// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hookhall/hookhall/internal/app/gateway"
	"github.com/pkg/errors"
)

const longCrashes = `Shows the requests that a gateway refuses since targets ended while they ran
them, by the digest of their content; all gateways refuse the same ones. With --lift,
the content is served again, everywhere. GATEWAY is the address of a gateway's setting
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

// crashesTime bounds a question to a gateway.
const crashesTime = 5 * time.Second

// Execute implements flags.Commander.
func (c *crashesCommand) Execute([]string) error {
	if c.Lift != "" {
		_, err := c.ask(http.MethodDelete, "/crashes/"+c.Lift)
		return err
	}
	b, err := c.ask(http.MethodGet, "/crashes")
	if err != nil {
		return err
	}
	var list []gateway.RefusedContent
	if err := json.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "crashes")
	}
	if options.JSON {
		return printJSON(list)
	}
	return printCrashes(list)
}

func printCrashes(list []gateway.RefusedContent) error {
	t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CONTENT\tACCOUNT\tSINCE\tSOFTWARE\tTARGETS")
	for _, r := range list {
		since := time.Duration(r.AgeMS) * time.Millisecond
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", r.Content, r.Account, since.Round(time.Second), strings.Join(r.Software, ", "), strings.Join(r.Targets, " "))
	}
	return t.Flush()
}

func (c *crashesCommand) ask(method, path string) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+c.Args.Gateway+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "crashes")
	}
	resp, err := (&http.Client{Timeout: crashesTime}).Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "crashes")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(b)))
	}
	return b, errors.Wrap(err, "crashes")
}
