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

// The golden files in testdata are what operators write and see. They change only where that is meant to change; then
// "go test ./internal/cli -update" writes them anew.
var update = flag.Bool("update", false, "write the golden files anew")

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

// emptyFields lists the exported fields that hold nothing in a value and in what it points to. Of a slice it looks at the
// first element, and it passes over embedded fields.
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

// unwritten lists the directives that no line names, of a section and of those in it; of several of a kind it looks at the first.
func unwritten(section reflect.Value) (missing []string) {
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
		for _, directive := range unwritten(value.Elem()) {
			missing = append(missing, tag.Get("section")+" "+directive)
		}
	}
	return missing
}

// platform is an environment that names the sample of the platform's configuration.
func platform() map[string]string {
	return map[string]string{"PROXY_CONFIG": filepath.Join("..", "..", "deploy", "sample.json")}
}

// An operators' file with every directive is read, and check prints of it what it always did, but for words that are new. The
// file that was written for earlier versions is still taken for the same, with a warning for each former word.
func TestCheckGolden(t *testing.T) {
	now, before := checkGolden(t, "every-directive"), checkGolden(t, "former-words")
	if now = strings.ReplaceAll(now, "every-directive.conf", "former-words.conf"); now != before {
		t.Errorf("the file with former words is taken for\n%s\nand not for\n%s", before, now)
	}
}

// checkGolden checks a file in testdata that has every directive, and returns what is in force.
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
	if missing := unwritten(reflect.ValueOf(operators).Elem()); len(missing) > 0 {
		t.Errorf("%s does not name %v", file, missing)
	}
	code, out, errs := run(t, platform(), "check", "--conf", file)
	if code != 0 || (errs != "") != (len(operators.FormerWords()) > 0) {
		t.Fatalf("exit %d: %s", code, errs)
	}
	compareGolden(t, name+".check", out)
	compareGolden(t, name+".warnings", errs)
	return out
}

// Faults are told in the words in which they always were. What the lines say is looked at once all of them can be read.
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

// askDouble runs a command against a control socket that gives one answer, and returns what it was asked and what was printed
// there and as errors.
func askDouble(t *testing.T, answer any, args ...string) (question, out, errs string) {
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

// member is one with a value in each field, but for those that only a try of streams fills.
func member(name string) gossip.Member {
	return gossip.Member{
		Name: name, Address: "192.0.2.3:7946", Generation: 1_767_225_600_000_000, Incarnation: 2, State: "suspect", ForMS: 3000, ReportedBy: "gw-3", LastReceivedMS: 400,
		RTTMicros: 500, Zone: "b", Weight: 6, Version: "1.2.3", Settings: "00000000000000ff", SettingsDiffer: true, Flags: []string{"draining", "no disk"},
		LostPaths: []string{"gw-1 -> gw-2"},
	}
}

// Each answer on the control socket has the keys that it always had, and is printed as it always was.
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

			question, out, errs := askDouble(t, c.answer, append(c.args, "--json")...)
			if question != c.question || errs != "" {
				t.Errorf("asked %q, with errors %q", question, errs)
			}
			compareGolden(t, c.name+".json", out)
			_, out, errs = askDouble(t, c.answer, c.args...)
			if errs != "" {
				t.Errorf("errors %q", errs)
			}
			compareGolden(t, c.name+".txt", out)
		})
	}
}

// Each command that is answered by a sentence asks what it always asked, also by the words that it had in earlier versions: these
// say the new ones once, on standard error.
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
		question, out, errs := askDouble(t, "a sentence", c.args...)
		fmt.Fprintf(&all, "%q asks %q and prints %q\n", c.args, question, out)
		if errs != "" {
			t.Errorf("%q: errors %q", c.args, errs)
		}
		question, out, errs = askDouble(t, "a sentence", c.former...)
		fmt.Fprintf(&allFormer, "%q asks %q and prints %q\n    %s", c.former, question, out, errs)
	}
	compareGolden(t, "questions.txt", all.String())
	compareGolden(t, "questions-former.txt", allFormer.String())
}

// Former words that print a table or JSON say the new ones on standard error alone.
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
				question, out, _ := askDouble(t, c.answer, append(c.args, flags...)...)
				formerQuestion, formerOut, warning := askDouble(t, c.answer, append(c.former, flags...)...)
				if formerQuestion != question || formerOut != out || warning != c.warning {
					t.Errorf("asked %q and printed %q, with errors %q", formerQuestion, formerOut, warning)
				}
			})
		}
	}
}
