// Package knownred judges a run of all tests against the list of those that are known to fail. The list is KNOWN-RED.txt at the
// root of the repository: a line a test, "PACKAGE TEST: cause (issue N)".
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

// MostEntries is how many tests may be known to fail at a time.
const MostEntries = 3

// Test names a test: the path of its package below the module, and its name.
type Test struct{ Package, Name string }

// String is the form in which CI prints it.
func (t Test) String() string { return t.Package + " " + t.Name }

// Entry is one line of the list.
type Entry struct {
	Test
	Cause string
}

// ParseList reads the list. It fails where a line names no test or no cause, where a test stands twice, and beyond MostEntries.
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
			return nil, fmt.Errorf("%s stands twice", entry.Test)
		}
		if entries = append(entries, entry); len(entries) > MostEntries {
			return nil, fmt.Errorf("more than %d tests", MostEntries)
		}
	}
	return entries, lines.Err()
}

// event is a line of "go test -json", as far as it is of use here.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Results is how tests ended.
type Results struct {
	// Failed and Passed hold top-level tests; of a test that ran more than once a failure counts.
	Failed, Passed map[Test]bool
	// Broken lists the packages that failed with no test of theirs: they could not be built, or ended early.
	Broken []string
}

// Read takes in the output of "go test -json" of a module and copies what the tests print, but for that of tests that passed,
// to out.
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

// Judge lists what is wrong with a run: failures that are not on the list, tests on it that passed or were not there, and
// packages that broke. No faults, and the run counts as passed.
func Judge(entries []Entry, r Results) (faults []string) {
	known := map[Test]bool{}
	for _, e := range entries {
		known[e.Test] = true
		switch {
		case r.Failed[e.Test]:
		case r.Passed[e.Test]:
			faults = append(faults, e.Test.String()+" is on the list of known failures and passes")
		default:
			faults = append(faults, e.Test.String()+" is on the list of known failures and does not exist")
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
