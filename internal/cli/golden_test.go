package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"marblespan/internal/config"
	"marblespan/internal/config/lines"
	"marblespan/internal/control"
	"marblespan/internal/floatingip"
	"marblespan/internal/gateway"
	"marblespan/internal/gossip"
)

// The golden files in testdata contain what operators write and what the commands print. They may change only together with an
// intended change of either; "go test ./internal/cli -update" then rewrites them.
var update = flag.Bool("update", false, "rewrite the golden files")

// compareGolden compares a text with a golden file in testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs. Got:\n%s\nwant:\n%s", path, got, want)
	}
}

// emptyFields returns the paths of the exported fields that are zero or empty in a value and in the values that it contains. Of a
// slice it checks the first element. It skips embedded fields.
func emptyFields(path string, v reflect.Value) (empty []string) {
	switch isSlice := v.Kind() == reflect.Slice; {
	case v.IsZero(), isSlice && v.Len() == 0:
		return []string{path}
	case isSlice:
		return emptyFields(path+"[0]", v.Index(0))
	case v.Kind() == reflect.Pointer:
		return emptyFields(path, v.Elem())
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && !f.Anonymous {
				empty = append(empty, emptyFields(path+"."+f.Name, v.Field(i))...)
			}
		}
	}
	return empty
}

// missingDirectives returns the directives of a section, and of the sections in it, that the file does not set. Of a repeated
// section it checks the first.
func missingDirectives(section reflect.Value) (missing []string) {
	where := section.FieldByName("Source").Interface().(lines.Source)
	for i := range section.NumField() {
		tag, value := section.Type().Field(i).Tag, section.Field(i)
		if directive, _, _ := strings.Cut(tag.Get("conf"), ","); directive != "" && where.LineOf(directive, 0) == where.Line {
			missing = append(missing, directive)
		}
		if tag.Get("section") == "" {
			continue
		}
		if value.Kind() == reflect.Slice {
			value = value.Index(0).Addr()
		}
		for _, directive := range missingDirectives(value.Elem()) {
			missing = append(missing, tag.Get("section")+" "+directive)
		}
	}
	return missing
}

// platform returns an environment with the path of the sample of the platform's configuration.
func platform() map[string]string {
	return map[string]string{"PROXY_CONFIG": filepath.Join("..", "..", "deploy", "sample.json")}
}

// TestCheckGolden checks what the command check prints for an operators' file with every directive. The same file with the former
// words of earlier versions must give the same settings, with a warning for each former word.
func TestCheckGolden(t *testing.T) {
	present, former := checkGolden(t, "every-directive"), checkGolden(t, "former-words")
	if present = strings.ReplaceAll(present, "every-directive.conf", "former-words.conf"); present != former {
		t.Errorf("the file with former words is read as\n%s\nwant\n%s", former, present)
	}
}

// checkGolden runs the command check on a file in testdata, which must have every directive, and returns the settings printed.
func checkGolden(t *testing.T, name string) string {
	t.Helper()
	file := filepath.Join("testdata", name+".conf")
	operators, err := config.LoadOperators(file)
	if err != nil {
		t.Fatal(err)
	}
	if empty := emptyFields("operators", reflect.ValueOf(operators)); len(empty) > 0 {
		t.Fatalf("%s leaves out %v", file, empty)
	}
	if missing := missingDirectives(reflect.ValueOf(operators).Elem()); len(missing) > 0 {
		t.Errorf("%s lacks the directives %v", file, missing)
	}
	code, out, errs := run(t, platform(), "check", "--conf", file)
	if code != 0 || (errs != "") != (len(operators.FormerWords()) > 0) {
		t.Fatalf("exit %d: %s", code, errs)
	}
	compareGolden(t, name+".check", out)
	compareGolden(t, name+".warnings", errs)
	return out
}

// TestFaultsGolden checks the texts of faults. Faulty lines and faulty values have a file each, because values are only checked
// once all lines can be parsed.
func TestFaultsGolden(t *testing.T) {
	for _, name := range []string{"faulty-lines", "faulty-values"} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := run(t, platform(), "check", "--conf", filepath.Join("testdata", name+".conf"))
			if code != exitFault || out != "" {
				t.Errorf("exit %d: %s", code, out)
			}
			compareGolden(t, name+".faults", errs)
		})
	}
}

// runWithAnswer runs a command against a control socket that gives the same answer to each question. It returns the last question,
// and what the command printed on standard output and standard error.
func runWithAnswer(t *testing.T, answer any, args ...string) (question, out, errs string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	server, err := control.Listen(path, func(q string) (any, error) {
		question = q
		return answer, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	code, out, errs := run(t, nil, append(args, "--socket", path)...)
	server.Close()
	if code != 0 {
		t.Errorf("%v: exit %d: %s", args, code, errs)
	}
	return question, out, errs
}

// member returns a member with a value in each field, except Self and the fields that only a test of streams fills.
func member(name string) gossip.Member {
	return gossip.Member{
		Name: name, Address: "192.0.2.3:7946", Generation: 1_767_225_600_000_000, Incarnation: 2, State: "suspect", ForMS: 3000, ReportedBy: "gw-3", LastReceivedMS: 400,
		RTTMicros: 500, Zone: "b", Weight: 6, Version: "1.2.3", Settings: "00000000000000ff", SettingsDiffer: true, Flags: []string{"draining", "no disk"},
		LostPaths: []string{"gw-1 -> gw-2"},
	}
}

// TestAnswersGolden checks the JSON keys of each answer on the control socket, and how the commands print the answer.
func TestAnswersGolden(t *testing.T) {
	self, other := member("gw-1"), member("gw-2")
	self.Self = true
	unreached, reached := self, other
	unreached.StreamMicros, unreached.StreamFault, reached.StreamMicros = 700, "timeout", 800
	replica := gateway.ReplicaStatus{Number: 11, Node: "gw-1", Lost: true}
	for _, c := range []struct {
		name, question string
		args           []string
		answer         any
		empty          []string // fields that the answer leaves out
	}{
		{
			"members", "members", []string{"members"},
			gossip.Status{Node: "gw-1", Excluded: true, LocalHealth: 2, Members: []gossip.Member{self, other}},
			[]string{"answer.Members[0].StreamMicros", "answer.Members[0].StreamFault"},
		},
		{
			"members-streams", "members streams", []string{"members", "--streams"},
			gossip.Status{Node: "gw-1", Excluded: true, LocalHealth: 2, Members: []gossip.Member{unreached, reached}}, nil,
		},
		{
			"vrrp-status", "vrrp status", []string{"vrrp", "status"},
			[]floatingip.Status{{
				Group: "counters", VRID: 51, Addresses: []string{"192.0.2.10", "192.0.2.11"}, State: "backup", StateDurationMS: 1500, Priority: 60, ConfiguredPriority: 100,
				Ready: true, FailedConditions: []string{"no-primary"}, ActiveRouter: "192.0.2.3", Activation: 3, PreemptBlockedMS: 250,
			}}, nil,
		},
		{
			"state-store", "copies", []string{"state-store"},
			gateway.StateStoreStatus{
				Node: "gw-1", BootstrapID: "00000000000000aa", Index: 7, Voters: 3, Format: 2, StoreID: "00000000000000bb", Failed: "disk full", Waiting: 4,
				Stores: []gateway.StoreStatus{{Number: "00000000000000bb", Node: "gw-1", Zone: "a", Weight: 5, Removed: true}},
				Groups: []gateway.GroupStatus{{
					Group: 1, Epoch: 2, Lost: true, Replicas: []gateway.ReplicaStatus{replica, {Number: 12, Node: "gw-2"}},
					Adding: &gateway.ReplicaStatus{Number: 13, Node: "gw-3", Lost: true}, Removing: 12,
					Here: &gateway.LocalReplicaStatus{Number: 11, Leader: "gw-2", Term: 6, Applied: 80, Last: 90, Records: 10, Bytes: 1100, Unsure: true},
				}, {Replicas: []gateway.ReplicaStatus{}, Here: &gateway.LocalReplicaStatus{Leader: "gw-2"}}},
			}, nil,
		},
		{
			"intents", "intents", []string{"intents"},
			gateway.IntentsStatus{
				Node: "gw-1", Counts: map[string]int64{"claimed": 5, "taken_over": 1},
				Open: []gateway.Intent{{
					Booking: "0102030405060708", ID: "r-1", Class: "order", Phase: "under_way", ForMS: 20, State: "open", Owner: "gw-1", Server: "s-1", Attempt: 2,
				}},
			}, nil,
		},
		{
			"maintenance", "maintain", []string{"maintenance", "list"},
			gateway.MaintenanceStatus{
				Node: "gw-1", Leader: "gw-2", Paused: true,
				Machines: []gateway.MachineStatus{{
					Position: 1, Machine: "s-1", Kind: "server", Group: 2, State: "leaving", ForMS: 3000, WorkMS: 1_200_000, Waits: "gw-3 to hear of it", Comment: "new disk", RequestedBy: "gw-1",
				}, {Machine: "gw-3", Kind: "gateway", State: "back"}},
			}, nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if empty := emptyFields("answer", reflect.ValueOf(c.answer)); !slices.Equal(empty, c.empty) {
				t.Errorf("the answer leaves out %v", empty)
			}
			raw, err := json.MarshalIndent(c.answer, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			compareGolden(t, c.name+".json", string(raw)+"\n")

			golden, err := os.Open(filepath.Join("testdata", c.name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			defer golden.Close()
			strict, read := json.NewDecoder(golden), reflect.New(reflect.TypeOf(c.answer))
			strict.DisallowUnknownFields()
			if err := strict.Decode(read.Interface()); err != nil || !reflect.DeepEqual(read.Elem().Interface(), c.answer) {
				t.Errorf("the golden file is read as %+v, %v", read.Elem(), err)
			}

			question, out, errs := runWithAnswer(t, c.answer, append(c.args, "--json")...)
			if question != c.question || errs != "" {
				t.Errorf("asked %q, with errors %q", question, errs)
			}
			compareGolden(t, c.name+".json", out)
			_, out, errs = runWithAnswer(t, c.answer, c.args...)
			if errs != "" {
				t.Errorf("errors %q", errs)
			}
			compareGolden(t, c.name+".txt", out)
		})
	}
}

// TestQuestionsGolden checks the question that each command with a one-sentence answer sends. Under its former name, a command
// must send the same question, and print its present name once on standard error.
func TestQuestionsGolden(t *testing.T) {
	var all, allFormer strings.Builder
	for _, c := range []struct{ args, former []string }{
		{[]string{"state-store", "bootstrap"}, []string{"copies", "found"}},
		{[]string{"state-store", "bootstrap", "--first"}, []string{"copies", "found", "--first"}},
		{[]string{"state-store", "remove-store", "gw 2"}, []string{"copies", "gone", "gw 2"}},
		{[]string{"state-store", "reset-shard", "3"}, []string{"copies", "anew", "3"}},
		{[]string{"maintenance", "add", "gw-1"}, []string{"maintain", "add", "gw-1"}},
		{
			[]string{"maintenance", "add", "server:s-1", "--for", "30m", "--why", "new disk"},
			[]string{"maintain", "add", "server:s-1", "--for", "30m", "--why", "new disk"},
		},
		{[]string{"maintenance", "done", "gw-1"}, []string{"maintain", "done", "gw-1"}},
		{[]string{"maintenance", "cancel", "gw-1"}, []string{"maintain", "drop", "gw-1"}},
		{[]string{"maintenance", "pause"}, []string{"maintain", "hold"}},
		{[]string{"maintenance", "resume"}, []string{"maintain", "go"}},
		{[]string{"maintenance", "resume", "gw-1"}, []string{"maintain", "go", "gw-1"}},
	} {
		question, out, errs := runWithAnswer(t, "a sentence", c.args...)
		fmt.Fprintf(&all, "%q asks %q and prints %q\n", c.args, question, out)
		if errs != "" {
			t.Errorf("%q: errors %q", c.args, errs)
		}
		question, out, errs = runWithAnswer(t, "a sentence", c.former...)
		fmt.Fprintf(&allFormer, "%q asks %q and prints %q\n    %s", c.former, question, out, errs)
	}
	compareGolden(t, "questions.txt", all.String())
	compareGolden(t, "questions-former.txt", allFormer.String())
}

// TestFormerCommandsPrintTheSame checks that commands that print a table or JSON print the same under their former names, and that
// the warning with the present name is only on standard error.
func TestFormerCommandsPrintTheSame(t *testing.T) {
	for _, c := range []struct {
		args, former []string
		answer       any
		warning      string
	}{
		{[]string{"state-store"}, []string{"copies"}, gateway.StateStoreStatus{BootstrapID: "aa"}, "Command \"copies\" is deprecated, use: marblespan state-store\n"},
		{[]string{"maintenance"}, []string{"maintain"}, gateway.MaintenanceStatus{Paused: true}, "Command \"maintain\" is deprecated, use: marblespan maintenance\n"},
		{
			[]string{"maintenance", "list"}, []string{"maintain", "list"}, gateway.MaintenanceStatus{Paused: true},
			"Command \"list\" is deprecated, use: marblespan maintenance list\n",
		},
	} {
		for _, flags := range [][]string{nil, {"--json"}} {
			t.Run(strings.Join(append(c.former, flags...), " "), func(t *testing.T) {
				question, out, _ := runWithAnswer(t, c.answer, append(c.args, flags...)...)
				formerQuestion, formerOut, warning := runWithAnswer(t, c.answer, append(c.former, flags...)...)
				if formerQuestion != question || formerOut != out || warning != c.warning {
					t.Errorf("asked %q and printed %q, with errors %q", formerQuestion, formerOut, warning)
				}
			})
		}
	}
}
