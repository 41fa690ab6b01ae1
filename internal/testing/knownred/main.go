// Command knownred runs the tests, and those listed in KNOWN-RED.txt separately. A line there names a test that fails because of a real
// fault that is not fixed yet, its cause and its issue:
//
//	cmd/sloehitch.TestDrains/seed_7 | a permit is given twice | 26
//
// It runs the given go test command without these tests, then runs each of them alone and prints its result. It fails if any other test
// fails, if a line is malformed or names a test that does not exist, or if the list has more than three tests.
//
//	go run ./internal/testing/knownred KNOWN-RED.txt go test -race -timeout 5m ./...
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// maxKnownFailures is the largest number of tests in the list.
const maxKnownFailures = 3

// knownFailure is a test that is known to fail.
type knownFailure struct {
	folder, test string // the package's folder in the module, and the name of the test or subtest as go test prints it
	cause, issue string
}

var (
	testPattern  = regexp.MustCompile(`^([\w./-]+)\.(Test\w*(?:/[^/|\s]+)*)$`)
	issuePattern = regexp.MustCompile(`^[0-9]+$`)
)

// parse parses the list. Its errors name the file and the line.
func parse(file, text string) (list []knownFailure, err error) {
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		errorf := func(format string, args ...any) error {
			return fmt.Errorf("%s:%d: %s", file, i+1, fmt.Sprintf(format, args...))
		}
		fields := strings.Split(line, "|")
		for k := range fields {
			fields[k] = strings.TrimSpace(fields[k])
		}
		if len(fields) != 3 {
			return nil, errorf("%d fields, want 3: test | cause | issue", len(fields))
		}
		m := testPattern.FindStringSubmatch(fields[0])
		switch {
		case m == nil:
			return nil, errorf("test: %q is malformed: want a package's folder, a period and a test, as in cmd/sloehitch.TestDrains/seed_7", fields[0])
		case fields[1] == "":
			return nil, errorf("cause: missing")
		case !issuePattern.MatchString(fields[2]):
			return nil, errorf("issue: %q is not a number", fields[2])
		case slices.ContainsFunc(list, func(r knownFailure) bool { return r.folder == m[1] && r.test == m[2] }):
			return nil, errorf("test: %s is listed twice", fields[0])
		case len(list) == maxKnownFailures:
			return nil, errorf("%d tests are known to fail already, which is the maximum", maxKnownFailures)
		}
		list = append(list, knownFailure{m[1], m[2], fields[1], fields[2]})
	}
	return list, nil
}

// pattern returns the regular expression for -run and -skip that matches only this test.
func (f knownFailure) pattern() string {
	parts := strings.Split(f.test, "/")
	for i, p := range parts {
		parts[i] = "^" + regexp.QuoteMeta(p) + "$"
	}
	return strings.Join(parts, "/")
}

// goTest runs a go command, copies its output to out, and returns the output.
func goTest(out io.Writer, args ...string) (string, error) {
	var output bytes.Buffer
	c := exec.Command(args[0], args[1:]...)
	both := io.MultiWriter(out, &output)
	c.Stdout, c.Stderr = both, both
	err := c.Run()
	return output.String(), err
}

// otherPackages returns the import paths of the module's packages without a test in the list.
func otherPackages(list []knownFailure) (others []string, err error) {
	listed, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{.Module.Path}}", "./...").Output()
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, r := range list {
		known[r.folder] = false
	}
	for _, line := range strings.Split(strings.TrimSpace(string(listed)), "\n") {
		path, module, _ := strings.Cut(line, " ")
		folder := strings.TrimPrefix(path, module+"/")
		if _, has := known[folder]; has {
			known[folder] = true
			continue
		}
		others = append(others, path)
	}
	for folder, found := range known {
		if !found {
			return nil, fmt.Errorf("KNOWN-RED.txt names the package %s, which does not exist", folder)
		}
	}
	return others, nil
}

// run runs the command, whose last argument must be ./..., first without the listed tests, and then each of these alone.
func run(out io.Writer, list []knownFailure, command []string) error {
	if len(list) == 0 {
		_, err := goTest(out, command...)
		return err
	}
	if command[len(command)-1] != "./..." {
		return errors.New("the last argument of the command must be ./... (all packages)")
	}
	flags := command[:len(command)-1]
	rest, err := otherPackages(list)
	if err != nil {
		return err
	}
	var failed error
	if len(rest) > 0 {
		_, failed = goTest(out, slices.Concat(flags, rest)...)
	}
	var folders []string
	for _, r := range list {
		if !slices.Contains(folders, r.folder) {
			folders = append(folders, r.folder)
		}
	}
	for _, folder := range folders {
		var skip []string
		for _, r := range list {
			if r.folder == folder {
				skip = append(skip, r.pattern())
			}
		}
		_, err := goTest(out, slices.Concat(flags, []string{"-skip", strings.Join(skip, "|"), "./" + folder})...)
		failed = errors.Join(failed, err)
	}
	for _, r := range list {
		var captured bytes.Buffer
		output, err := goTest(&captured, slices.Concat(flags, []string{"-v", "-run", r.pattern(), "./" + r.folder})...)
		if !strings.Contains(output, "=== RUN   "+r.test+"\n") {
			return errors.Join(failed, fmt.Errorf("KNOWN-RED.txt names the test %s.%s, which does not exist:\n%s", r.folder, r.test,
				captured.String()))
		}
		outcome := "fails, as expected"
		if err == nil {
			outcome = "passed this time"
		}
		fmt.Fprintf(out, "KNOWN RED: %s.%s %s (%s; issue %s)\n", r.folder, r.test, outcome, r.cause, r.issue)
	}
	return failed
}

func main() {
	if err := runMain(os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func runMain(out io.Writer, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: knownred FILE go test [FLAG...] ./... (all packages)")
	}
	text, err := os.ReadFile(args[0])
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	list, err := parse(args[0], string(text))
	if err != nil {
		return err
	}
	return run(out, list, args[1:])
}
