// Package knownred compares the results of a test run with the list of tests that are known to fail. The list is the file
// KNOWN-RED.txt at the root of the repository. It has one line for each test: "PACKAGE TEST: cause (issue N)".
package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// MaxEntries is the maximum number of tests on the list.
const MaxEntries = 3

// Test identifies a test by the path of its package relative to the module, and by its name.
type Test struct{ Package, Name string }

// String returns the package and the name: "PACKAGE TEST", as CI prints a test.
func (t Test) String() string { return t.Package + " " + t.Name }

// Entry is one line of the list.
type Entry struct {
	Test
	Cause string
}

// ParseList reads the list of known failures. It returns an error if a line lacks the test or the cause, if a test is listed
// twice, or if the list has more than MaxEntries tests.
func ParseList(list io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(list)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		name, cause, _ := strings.Cut(line, ": ")
		words := strings.Fields(name)
		if len(words) != 2 || strings.TrimSpace(cause) == "" {
			return nil, fmt.Errorf("%q is not PACKAGE TEST: cause (issue N)", line)
		}
		entry := Entry{Test: Test{Package: words[0], Name: words[1]}, Cause: cause}
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Test == entry.Test }) {
			return nil, fmt.Errorf("%s is listed twice", entry.Test)
		}
		if entries = append(entries, entry); len(entries) > MaxEntries {
			return nil, fmt.Errorf("more than %d tests are listed", MaxEntries)
		}
	}
	return entries, lines.Err()
}

// event has the fields of a line of "go test -json" output that this package uses.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Results holds the outcomes of a test run.
type Results struct {
	// Failed and Passed hold top-level tests. A test that ran more than once and failed at least once counts as failed.
	Failed, Passed map[Test]bool
	// Broken lists the packages that failed although none of their tests failed: they could not be built, or the run ended
	// early.
	Broken []string
}

// Read reads the output of "go test -json" for a module. It copies the output of packages and of failed tests to out, and omits
// the output of tests that passed.
func Read(run io.Reader, module string, out io.Writer) (Results, error) {
	r := Results{Failed: map[Test]bool{}, Passed: map[Test]bool{}}
	printed := map[Test][]string{}
	failing := map[string]bool{}
	decoder := json.NewDecoder(run)
	for {
		var e event
		if err := decoder.Decode(&e); errors.Is(err, io.EOF) {
			return r, nil
		} else if err != nil {
			return r, err
		}
		top, _, _ := strings.Cut(e.Test, "/")
		test := Test{Package: strings.TrimPrefix(e.Package, module+"/"), Name: top}
		switch {
		case e.Action == "output" && top == "":
			fmt.Fprint(out, e.Output)
		case e.Action == "output":
			printed[test] = append(printed[test], e.Output)
		case e.Action == "fail" && top == "":
			if !failing[test.Package] {
				r.Broken = append(r.Broken, test.Package)
			}
		case e.Action == "fail":
			r.Failed[test], failing[test.Package] = true, true
			fmt.Fprint(out, strings.Join(printed[test], ""))
			delete(printed, test)
		case e.Action == "pass" && e.Test == top && top != "":
			r.Passed[test] = true
			delete(printed, test)
		}
	}
}

// Check compares a run with the list of known failures and returns the faults: tests that failed and are not on the list,
// tests on the list that passed or did not run, and packages that could not be tested. A run without such faults counts as
// passed.
func Check(entries []Entry, r Results) (faults []string) {
	known := map[Test]bool{}
	for _, e := range entries {
		known[e.Test] = true
		switch {
		case r.Failed[e.Test]:
		case r.Passed[e.Test]:
			faults = append(faults, e.Test.String()+" is on the list of known failures but passes")
		default:
			faults = append(faults, e.Test.String()+" is on the list of known failures but did not run")
		}
	}
	for test := range r.Failed {
		if !known[test] {
			faults = append(faults, test.String()+" failed")
		}
	}
	for _, p := range r.Broken {
		faults = append(faults, p+" could not be tested")
	}
	slices.Sort(faults)
	return faults
}
