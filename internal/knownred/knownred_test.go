package knownred

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestParseList(t *testing.T) {
	got, err := ParseList(strings.NewReader("\ninternal/a TestB: it waits for ever (issue 7)\n"))
	want := []Entry{{Test{"internal/a", "TestB"}, "it waits for ever (issue 7)"}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %v", got, err)
	}
	line := "internal/a Test%: cause (issue 7)\n"
	for in, fault := range map[string]string{
		"TestB: cause":      "is not PACKAGE TEST",
		"internal/a TestB":  "is not PACKAGE TEST",
		"internal/a TestB:": "is not PACKAGE TEST",
		line + line:         "is listed twice",
		strings.ReplaceAll(line, "%", "1") + strings.ReplaceAll(line, "%", "2") + strings.ReplaceAll(line, "%", "3") +
			strings.ReplaceAll(line, "%", "4"): "more than 3",
	} {
		if _, err := ParseList(strings.NewReader(in)); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%q: %v, want %s", in, err, fault)
		}
	}
}

const run = `{"Action":"output","Package":"m/a","Test":"TestGood","Output":"fine\n"}
{"Action":"pass","Package":"m/a","Test":"TestGood"}
{"Action":"output","Package":"m/a","Test":"TestBad/part","Output":"it broke\n"}
{"Action":"fail","Package":"m/a","Test":"TestBad/part"}
{"Action":"fail","Package":"m/a","Test":"TestBad"}
{"Action":"output","Package":"m/a","Output":"FAIL m/a 0.1s\n"}
{"Action":"fail","Package":"m/a"}
`

func TestCheck(t *testing.T) {
	bad, good, none := Entry{Test{"a", "TestBad"}, "c"}, Entry{Test{"a", "TestGood"}, "c"}, Entry{Test{"a", "TestNone"}, "c"}
	for _, c := range []struct {
		name    string
		entries []Entry
		run     string
		want    []string
	}{
		{"a known failure", []Entry{bad}, run, nil},
		{"an unknown failure", nil, run, []string{"a TestBad failed"}},
		{"a known failure that passes", []Entry{bad, good}, run, []string{"a TestGood is on the list of known failures but passes"}},
		{"a known failure that did not run", []Entry{bad, none}, run, []string{"a TestNone is on the list of known failures but did not run"}},
		{"a package that cannot be built", nil, `{"Action":"fail","Package":"m/b"}`, []string{"b could not be tested"}},
		{"a failure in a second run", []Entry{bad}, run + `{"Action":"fail","Package":"m/a","Test":"TestGood"}`, []string{"a TestGood failed"}},
	} {
		results, err := Read(strings.NewReader(c.run), "m", &bytes.Buffer{})
		if err != nil {
			t.Fatal(err)
		}
		if got := Check(c.entries, results); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	var out bytes.Buffer
	if _, err := Read(strings.NewReader(run), "m", &out); err != nil || out.String() != "it broke\nFAIL m/a 0.1s\n" {
		t.Errorf("printed %q, %v", out.String(), err)
	}
	if _, err := Read(strings.NewReader("no JSON"), "m", &out); err == nil {
		t.Error("output that is not JSON was accepted")
	}
}
