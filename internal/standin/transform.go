// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// headBytes is the length in bytes of the input's beginning that non-streaming stages
// copy into their output. Inputs with the same prompt template thus share a prefix at later
// stages too, where prefix caches match on it.
const headBytes = 64

// Transform returns the answer of a target as a list of words, one per token. The last
// word is the tag of the input (see Tag), so that an answer can be matched to its
// request; the other words are derived from stage and input alone. With tokens 0, as for
// targets that do not stream, the answer is the head of the input, a word derived from
// the hash, and the tag; otherwise it has exactly tokens words.
func Transform(stage, input string, tokens int) []string {
	tag := Tag(input)
	hash := xxhash.Sum64String(stage + "\x00" + input)
	if tokens == 0 {
		head := input[:min(headBytes, len(input)-len(tag))]
		return []string{head, stage + "-" + strconv.FormatUint(hash, 16), " " + tag}
	}
	words := make([]string, 0, tokens)
	for i := 1; i < tokens; i++ {
		words = append(words, fmt.Sprintf("w%d-%04x ", i, (hash>>(i%48))&0xffff))
	}
	return append(words, tag)
}

// Tag returns the last space-separated word of an input, which identifies its request.
func Tag(input string) string { return input[strings.LastIndexByte(input, ' ')+1:] }

// Output returns the words of Transform joined into one string.
func Output(stage, input string, tokens int) string {
	return strings.Join(Transform(stage, input, tokens), "")
}
