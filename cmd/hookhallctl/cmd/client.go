// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/transport/operators"
	"github.com/pkg/errors"
)

const (
	callTime = 15 * time.Second
	// settleTries is how often an edit without a known outcome is sent again
	// under the same id.
	settleTries = 3
	maxAnswer   = 64 << 20
)

// call makes one call; a status other than 200 is an error with the answer's
// own words.
func call(method, address, path string, query url.Values, body, into any) (int, error) {
	if address == "" {
		return 0, errors.New("no address: give --admin or HOOKHALL_ADMIN")
	}
	var b bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&b).Encode(body); err != nil {
			return 0, err
		}
	}
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequest(method, u.String(), &b)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+options.Token)
	resp, err := (&http.Client{Timeout: callTime}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, failure(resp.StatusCode, answer)
	}
	return resp.StatusCode, json.Unmarshal(answer, into)
}

func failure(status int, answer []byte) error {
	var f operators.EditFailure
	if json.Unmarshal(answer, &f) != nil || f.Detail == "" {
		return errors.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return errors.New(f.Detail)
}

func readTable(sheet string) (operators.TableAnswer, error) {
	var a operators.TableAnswer
	_, err := call(http.MethodGet, options.Admin, operators.PathTable, url.Values{"sheet": {sheet}}, nil, &a)
	return a, err
}

// edit sends edits under one id until their outcome is known.
func edit(edits []hookhall.Edit) (tables.Outcome, error) {
	var out tables.Outcome
	q := operators.EditRequest{ID: uuid.NewString(), Edits: edits}
	for i := 1; ; i++ {
		status, err := call(http.MethodPost, options.Admin, operators.PathEdits, nil, q, &out)
		settled := status != 0 && status != http.StatusServiceUnavailable
		if err == nil || settled || i == settleTries {
			return out, err
		}
	}
}

// splitRow takes SHEET/ROW apart.
func splitRow(s string) (hookhall.Sheet, string, error) {
	sheet, row, ok := strings.Cut(s, "/")
	if !ok || row == "" {
		return "", "", errors.Errorf("%q is not SHEET/ROW, as in accounts/acme", s)
	}
	return hookhall.Sheet(sheet), row, nil
}

func printJSON(v any) error {
	e := json.NewEncoder(stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
