// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"cmp"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode"

	"github.com/hookhall/hookhall/internal/load"
	. "github.com/smartystreets/goconvey/convey"
)

// TestDocumentedCalls guards against examples in docs/API.md that no longer work. It
// runs each sh block of the page against a fleet; the block's first line is
// "# expect: " and the text that the output must contain.
func TestDocumentedCalls(t *testing.T) {
	Convey("The commands of docs/API.md do what the page says", t, func() {
		page, err := os.ReadFile("../docs/API.md")
		So(err, ShouldBeNil)
		c := newCluster(t, options{})
		blockCount := 0
		for _, block := range strings.Split(string(page), "```sh\n")[1:] {
			script, _, _ := strings.Cut(block, "```")
			firstLine, _, _ := strings.Cut(script, "\n")
			want := strings.TrimPrefix(firstLine, "# expect: ")
			cmd := exec.Command("bash", "-c", script)
			cmd.Env = append(os.Environ(), "ENTRY="+c.entries[blockCount%3].callersAddress, "KEY="+load.Account{Name: "partners"}.Key())
			out, err := cmd.CombinedOutput()
			So(err, ShouldBeNil)
			So(string(out), ShouldContainSubstring, want)
			blockCount++
		}
		So(blockCount, ShouldEqual, 5)
	})
}

// TestDocumentedNames guards against pages that cite a function, type, member, file or
// other name that the sources do not have, as happens when code is renamed and a page is
// not. It checks the inline code of the pages, not their code blocks.
func TestDocumentedNames(t *testing.T) {
	names, err := readSourceNames("..")
	if err != nil {
		t.Fatal(err)
	}
	var pages []string
	for _, pattern := range []string{"README.md", "CONTRIBUTING.md", "docs/*.md", "docs/design/*.md", "docs/incidents/*.md"} {
		found, err := filepath.Glob(filepath.Join("..", pattern))
		if err != nil {
			t.Fatal(err)
		}
		if len(found) == 0 {
			t.Errorf("no page matches %s", pattern)
		}
		pages = append(pages, found...)
	}
	type miss struct {
		page   string
		line   int
		mark   string
		reason string
	}
	var misses []miss
	markCount := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, mark := range inlineCode(string(text)) {
			markCount++
			if reason := names.missing(mark.text); reason != "" {
				misses = append(misses, miss{strings.TrimPrefix(filepath.ToSlash(page), "../"), mark.line, mark.text, reason})
			}
		}
	}
	if markCount < 500 {
		t.Errorf("the pages have %d pieces of inline code; at least 500 were expected", markCount)
	}
	slices.SortFunc(misses, func(a, b miss) int {
		return cmp.Or(cmp.Compare(a.page, b.page), cmp.Compare(a.line, b.line), cmp.Compare(a.mark, b.mark))
	})
	for _, m := range misses {
		t.Errorf("%s:%d: `%s`: %s", m.page, m.line, m.mark, m.reason)
	}
}

var (
	testNamePattern      = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*`)
	qualifiedNamePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_]*(?:\.[A-Za-z][A-Za-z0-9_]*){1,2}$`)
	plainWordPattern     = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)
	wordPattern          = regexp.MustCompile(`[A-Za-z][A-Za-z0-9]*`)
	sourcePathPattern    = regexp.MustCompile(`^(?:internal|cmd|platform|scripts|test|deploy)/|\.go$`)
	fileNamePattern      = regexp.MustCompile(`\.(?:go|json|md|proto|sh|tmpl|toml|txt)$`)
)

// sourceNames holds the names that pages may cite. Packages and types of the same name
// are merged.
type sourceNames struct {
	files         map[string]bool            // files and folders, relative to the root
	testFunctions map[string]bool            // functions of test files
	packages      map[string]map[string]bool // declarations by package name
	members       map[string]map[string]bool // fields and methods by type name
	embedded      map[string]map[string]bool // embedded and underlying types by type name
	words         map[string]bool            // identifiers and words of string literals
	keys          map[string]bool            // keys of toml and json tags
}

// readSourceNames reads the Go, proto and TOML files below root.
func readSourceNames(root string) (*sourceNames, error) {
	names := &sourceNames{
		files: map[string]bool{}, testFunctions: map[string]bool{}, words: map[string]bool{}, keys: map[string]bool{},
		packages: map[string]map[string]bool{}, members: map[string]map[string]bool{}, embedded: map[string]map[string]bool{},
	}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		if entry.IsDir() && (relative == "journal" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		names.files[filepath.ToSlash(relative)] = true
		switch {
		case entry.IsDir():
		case strings.HasSuffix(name, ".go"):
			return names.addGoFile(name)
		case strings.HasSuffix(name, ".proto"), strings.HasSuffix(name, ".toml"), strings.HasSuffix(name, ".toml.tmpl"):
			text, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			for line := range strings.Lines(string(text)) {
				if line = strings.TrimSpace(line); !strings.HasPrefix(line, "#") && !strings.HasPrefix(line, "//") {
					names.addWords(line)
				}
			}
		}
		return nil
	})
	return names, err
}

func (s *sourceNames) addWords(text string) {
	for _, word := range wordPattern.FindAllString(text, -1) {
		s.words[word] = true
	}
}

func (s *sourceNames) addGoFile(name string) error {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	packageName := file.Name.Name
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv != nil {
				add(s.members, typeName(declaration.Recv.List[0].Type), declaration.Name.Name)
				continue
			}
			add(s.packages, packageName, declaration.Name.Name)
			if strings.HasSuffix(name, "_test.go") {
				s.testFunctions[declaration.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					add(s.packages, packageName, spec.Name.Name)
					s.addType(spec)
				case *ast.ValueSpec:
					for _, identifier := range spec.Names {
						add(s.packages, packageName, identifier.Name)
					}
				}
			}
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Ident:
			s.words[node.Name] = true
		case *ast.BasicLit:
			if node.Kind == token.STRING {
				text, err := strconv.Unquote(node.Value)
				if err != nil {
					text = node.Value
				}
				s.addWords(text)
			}
		case *ast.Field:
			if node.Tag != nil {
				tag, _ := strconv.Unquote(node.Tag.Value)
				for _, format := range []string{"toml", "json"} {
					key, _, _ := strings.Cut(reflect.StructTag(tag).Get(format), ",")
					s.keys[key] = true
				}
			}
		}
		return true
	})
	return nil
}

// addType adds the fields or interface methods of a declared type.
func (s *sourceNames) addType(spec *ast.TypeSpec) {
	name := spec.Name.Name
	if s.members[name] == nil {
		s.members[name] = map[string]bool{}
	}
	var fields *ast.FieldList
	switch definition := spec.Type.(type) {
	case *ast.StructType:
		fields = definition.Fields
	case *ast.InterfaceType:
		fields = definition.Methods
	default: // An alias or a type defined by another one may have its members.
		if other := typeName(spec.Type); other != "" {
			add(s.embedded, name, other)
		}
		return
	}
	for _, field := range fields.List {
		for _, identifier := range field.Names {
			add(s.members, name, identifier.Name)
		}
		if len(field.Names) == 0 {
			if other := typeName(field.Type); other != "" {
				add(s.members, name, other)
				add(s.embedded, name, other)
			}
		}
	}
}

func add(sets map[string]map[string]bool, set, name string) {
	if sets[set] == nil {
		sets[set] = map[string]bool{}
	}
	sets[set][name] = true
}

// typeName returns the name of a type without its package, pointer and type arguments,
// or "" for a type literal.
func typeName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	case *ast.StarExpr:
		return typeName(expression.X)
	case *ast.ParenExpr:
		return typeName(expression.X)
	case *ast.IndexExpr:
		return typeName(expression.X)
	case *ast.IndexListExpr:
		return typeName(expression.X)
	}
	return ""
}

// hasMember reports whether the type has the member itself or by embedding. Types of
// other modules have no known members.
func (s *sourceNames) hasMember(name, member string, visited map[string]bool) bool {
	if visited[name] {
		return false
	}
	visited[name] = true
	if s.members[name][member] {
		return true
	}
	for other := range s.embedded[name] {
		if s.hasMember(other, member, visited) {
			return true
		}
	}
	return false
}

// missing returns what the sources lack of the names that the inline code cites, or "".
func (s *sourceNames) missing(code string) string {
	words := strings.Fields(code)
	for _, test := range testNamePattern.FindAllString(code, -1) {
		// The patterns of a command (go test -run) match any part of a name.
		if !s.testFunctions[test] && (len(words) == 1 || !s.partOfTestName(test)) {
			return "no test file has the function " + test
		}
	}
	for _, word := range words {
		word = strings.Trim(word, `,;:'"`)
		if sourcePathPattern.MatchString(word) && !s.hasPath(word) {
			return "no file or folder is called " + word
		}
	}
	if len(words) != 1 || fileNamePattern.MatchString(code) || sourcePathPattern.MatchString(code) {
		return ""
	}
	name, _, _ := strings.Cut(strings.TrimLeft(code, "*&[]"), "(")
	if qualifiedNamePattern.MatchString(name) {
		return s.missingQualified(strings.Split(name, "."))
	}
	if plainWordPattern.MatchString(name) && hasInnerCapital(name) && !s.words[name] {
		return "neither an identifier nor in a string of the sources"
	}
	return ""
}

// missingQualified checks package.Name, package.Name.Member and Type.Member, unless the
// name is that of a setting or JSON key, such as gateway.cores.
func (s *sourceNames) missingQualified(parts []string) string {
	first, rest := parts[0], parts[1:]
	if s.keys[first] && s.keys[rest[0]] {
		return ""
	}
	if declared, ok := s.packages[first]; ok {
		_, isType := s.members[first]
		switch {
		case declared[rest[0]] && len(rest) == 1:
			return ""
		case declared[rest[0]]:
			first, rest = rest[0], rest[1:]
			if _, ok := s.members[first]; !ok && !s.words[rest[0]] {
				return "no identifier is called " + rest[0]
			}
		case !isType:
			return "package " + first + " does not declare " + rest[0]
		}
	}
	if _, ok := s.members[first]; !ok {
		for _, part := range parts {
			if part != strings.ToLower(part) && !s.words[part] {
				return "no identifier is called " + part
			}
		}
		return ""
	}
	if !s.hasMember(first, rest[0], map[string]bool{}) {
		return "type " + first + " has no field or method " + rest[0]
	}
	if len(rest) == 2 && !s.words[rest[1]] {
		return "no identifier is called " + rest[1]
	}
	return ""
}

func (s *sourceNames) partOfTestName(part string) bool {
	for name := range s.testFunctions {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// hasPath reports whether a path from the root exists, or, of a path that ends in .go,
// whether it is the end of one. A pattern has to match something.
func (s *sourceNames) hasPath(pattern string) bool {
	pattern = strings.TrimSuffix(strings.TrimSuffix(strings.TrimPrefix(pattern, "./"), "/..."), "/")
	if s.files[pattern] {
		return true
	}
	for file := range s.files {
		if matched, _ := path.Match(pattern, file); matched {
			return true
		}
		if strings.HasSuffix(pattern, ".go") {
			parts := strings.Split(file, "/")
			if extra := len(parts) - strings.Count(pattern, "/") - 1; extra > 0 {
				if matched, _ := path.Match(pattern, strings.Join(parts[extra:], "/")); matched {
					return true
				}
			}
		}
	}
	return false
}

// hasInnerCapital reports whether a word has a capital after its first letter and a
// small letter, as camelCase has and SIGTERM does not.
func hasInnerCapital(word string) bool {
	return strings.IndexFunc(word[1:], unicode.IsUpper) >= 0 && strings.IndexFunc(word, unicode.IsLower) >= 0
}

type codeMark struct {
	line int
	text string
}

// inlineCode returns the inline code of a Markdown page, which may run over the end of a
// line but not of a paragraph. Fenced code blocks are left out.
func inlineCode(page string) []codeMark {
	var marks []codeMark
	lines := strings.Split(page, "\n")
	var paragraph []string
	end := func(next int) {
		text := strings.Join(paragraph, "\n")
		first := next - len(paragraph) + 1 // of the paragraph, counted from 1
		paragraph = nil
		for position := 0; position < len(text); {
			start := strings.IndexByte(text[position:], '`')
			if start < 0 {
				return
			}
			start += position
			fence := text[start : len(text)-len(strings.TrimLeft(text[start:], "`"))]
			position = start + len(fence)
			for offset := position; offset < len(text); {
				stop := strings.Index(text[offset:], fence)
				if stop < 0 {
					break
				}
				stop += offset
				run := len(text[stop:]) - len(strings.TrimLeft(text[stop:], "`"))
				if run == len(fence) {
					code := strings.Join(strings.Fields(text[position:stop]), " ")
					marks = append(marks, codeMark{first + strings.Count(text[:start], "\n"), code})
					position = stop + run
					break
				}
				offset = stop + run
			}
		}
	}
	fence := ""
	for i, line := range lines {
		trimmed := strings.TrimSpace(line)
		switch {
		case fence != "":
			if strings.HasPrefix(trimmed, fence) {
				fence = ""
			}
		case strings.HasPrefix(trimmed, "```"), strings.HasPrefix(trimmed, "~~~"):
			end(i)
			fence = trimmed[:3]
		case trimmed == "":
			end(i)
		default:
			paragraph = append(paragraph, line)
		}
	}
	end(len(lines))
	return marks
}
