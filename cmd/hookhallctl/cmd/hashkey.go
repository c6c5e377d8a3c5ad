// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

const hashKeyDescription = `Prints the SHA-256 of an account's key, for the cell key_sha256. The key is read
from standard input, so that it does not show in the process list.

Example:
  printf %s "$KEY" | hookhallctl hash-key`

type hashKeyCommand struct{}

// Execute implements flags.Commander. It hashes the first line of standard
// input, without the space around it. An empty line is an error.
func (c *hashKeyCommand) Execute([]string) error {
	scanner := bufio.NewScanner(stdin)
	scanner.Scan()
	if err := scanner.Err(); err != nil {
		return err
	}
	key := strings.TrimSpace(scanner.Text())
	if key == "" {
		return errors.New("hash-key: no key on the first line of standard input")
	}
	sum := sha256.Sum256([]byte(key))
	fmt.Fprintln(stdout, hex.EncodeToString(sum[:]))
	return nil
}
