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
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/transport/httpclient"
	"github.com/hookhall/hookhall/internal/transport/operators"
	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call other than an edit, from connecting to the last byte
	// of the answer.
	callTimeout = 15 * time.Second
	// editTimeout bounds one call with an edit. It is longer than the admin may take to
	// report the outcome.
	editTimeout = settings.MaxAccept + callTimeout
	// maxEditAttempts is the number of times that an edit is submitted under one
	// ID while its outcome is unknown.
	maxEditAttempts = 3
	// maxAnswerBytes caps the body of an answer; a longer one fails to decode.
	maxAnswerBytes = 64 << 20
)

// transport makes all calls of the program.
var transport = httpclient.NewDefaultTransport()

// call sends one request with the operators' token to address, with body as
// JSON if it is not nil, and decodes the answer into result. It returns the
// status, or 0 if there was no complete answer. A status other than 200 is an
// error that carries the detail from the answer.
func call(method, address, path string, query url.Values, body, result any) (int, error) {
	if address == "" {
		return 0, errors.New("no address: set --admin or HOOKHALL_ADMIN")
	}
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return 0, err
		}
	}
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequest(method, u.String(), &payload)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+options.Token)
	resp, err := (&http.Client{Transport: transport, Timeout: timeoutOf(path)}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, responseError(resp.StatusCode, answer)
	}
	return resp.StatusCode, json.Unmarshal(answer, result)
}

// timeoutOf returns the bound for a call to a path of the admin.
func timeoutOf(path string) time.Duration {
	if path == operators.PathEdits {
		return editTimeout
	}
	return callTimeout
}

// responseError returns the detail of an operators.EditFailure, or the status
// and the body of any other answer.
func responseError(status int, answer []byte) error {
	var failure operators.EditFailure
	if json.Unmarshal(answer, &failure) != nil || failure.Detail == "" {
		return errors.Errorf("status %d: %s", status, bytes.TrimSpace(answer))
	}
	return errors.New(failure.Detail)
}

// readTable returns the rows of a sheet, or of all sheets if sheet is empty.
func readTable(sheet string) (operators.TableAnswer, error) {
	var answer operators.TableAnswer
	_, err := call(http.MethodGet, options.Admin, operators.PathTable, url.Values{"sheet": {sheet}}, nil, &answer)
	return answer, err
}

// submitEdits sends edits to the admin under one new ID, up to maxEditAttempts
// times. It retries only while the outcome is unknown: after a call without a
// complete answer, or with status 503.
func submitEdits(edits []hookhall.Edit) (tables.Outcome, error) {
	var outcome tables.Outcome
	request := operators.EditRequest{ID: uuid.NewString(), Edits: edits}
	for i := 1; ; i++ {
		status, err := call(http.MethodPost, options.Admin, operators.PathEdits, nil, request, &outcome)
		settled := status != 0 && status != http.StatusServiceUnavailable
		if err == nil || settled || i == maxEditAttempts {
			return outcome, err
		}
	}
}

// parseRow splits SHEET/ROW at its first slash. It returns an error if there is
// no slash or no row.
func parseRow(s string) (hookhall.Sheet, string, error) {
	sheet, row, ok := strings.Cut(s, "/")
	if !ok || row == "" {
		return "", "", errors.Errorf("invalid row %q: want SHEET/ROW, for example accounts/acme", s)
	}
	return hookhall.Sheet(sheet), row, nil
}

// printJSON prints v as one indented JSON document.
func printJSON(v any) error {
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
