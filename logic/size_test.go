package logic

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// Limits on the package's files, tests excepted.
const (
	maxFileLines     = 399
	maxFunctionLines = 59
	maxColumns       = 110 // a tab counts as 4
)

// sourceFiles returns the paths of the package's files without its tests.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var sources []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			sources = append(sources, path)
		}
	}
	return sources
}

func TestSourceFilesStayWithinSizeLimits(t *testing.T) {
	sources := sourceFiles(t)
	for _, path := range sources {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s has %d lines, %d at most", path, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if width := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); width > maxColumns {
				t.Errorf("%s:%d has %d columns, %d at most", path, i+1, width, maxColumns)
			}
		}
		checkFunctionLengths(t, path, text)
	}
	if len(sources) < 15 {
		t.Errorf("only %d source files were checked", len(sources))
	}
}

func checkFunctionLengths(t *testing.T, path string, text []byte) {
	t.Helper()
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, path, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range parsed.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
		if lines > maxFunctionLines {
			t.Errorf("%s: %s has %d lines, %d at most", path, function.Name.Name, lines, maxFunctionLines)
		}
	}
}
