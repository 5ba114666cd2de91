package simhost

import (
	"bytes"
	"strings"
	"testing"
)

const start = `{"balancers":1,"classes":[{"name":"look","aim_ms":400,"give_up_ms":900,"effect":"free","group":"all",` +
	`"points":1}],"family_info":{"checks":"none","freshness":["eventual"],"oldest_data_ms":[0]},"granularity_ms":5,` +
	`"policy_limits":{"cancelling":true,"connect_timeout_ms":250,"most_tries":4},` +
	`"rules":{"ramp_time_ms":9000,"fall_ms":2000,"cold_from":0.3,"overload_factor":3,"ask_within_ms":10000}}`

func run(t *testing.T, lines ...string) (out, errorLog string, err error) {
	t.Helper()
	var o, c bytes.Buffer
	err = Run(strings.NewReader(strings.Join(lines, "\n")), &o, &c)
	return o.String(), c.String(), err
}

func begin(inst string, server string) []string {
	return []string{
		`["START",` + inst + `,7,` + start + `]`,
		`["LEDGER",0,[[0,1,"k","z",` + server + `,1,1,null]]]`,
		`["REGISTRY",` + inst + `,1,1,0]`,
	}
}

func batch(now string, lines ...[]string) []string {
	out := []string{`["TICK",` + now + `]`}
	for _, l := range lines {
		out = append(out, l...)
	}
	return append(out, `["FLUSH"]`)
}

func TestEmptyBatchAndCleanEnd(t *testing.T) {
	out, errorLog, err := run(t, `["TICK",8412.25]`, `["FLUSH"]`, ``, `["TICK",8417.25]`, `["FLUSH"]`)
	if out != "[\"YIELD\"]\n[\"YIELD\"]\n" || errorLog != "" || err != nil {
		t.Errorf("%q, %q, %v", out, errorLog, err)
	}
}

// Instances share no state: a request goes to the server on the list of its own instance, although another instance has used
// the same sheet number since.
func TestInstancesAreIsolated(t *testing.T) {
	lines := batch("1000", begin("1", "11"), begin("2", "22"))
	lines = append(lines, batch("1005", []string{
		`["JOB_IN",1,"a",null,null,1,500,"look"]`, `["JOB_IN",2,"a",null,null,1,500,"look"]`})...)
	out, errorLog, err := run(t, lines...)
	if err != nil || errorLog != "" {
		t.Fatal(errorLog, err)
	}
	if !strings.Contains(out, `["TRY",1,"a",11,`) || !strings.Contains(out, `["TRY",2,"a",22,`) {
		t.Error(out)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	lines := batch("1000", begin("1", "11"))
	lines = append(lines, batch("1005", []string{`["POWER_OFF",1]`}, begin("1", "22"),
		[]string{`["JOB_IN",1,"a",null,null,1,500,"look"]`})...)
	out, errorLog, err := run(t, lines...)
	if err != nil || errorLog != "" || !strings.Contains(out, `["TRY",1,"a",22,`) {
		t.Error(out, errorLog, err)
	}
}

// A fault of one instance is reported for that instance only, and the other instances continue.
func TestFaultOfOneInstance(t *testing.T) {
	for _, bad := range []string{
		`["NOVELTY",1]`, `["JOB_IN",1,"a",null,null,1,500,"unheard of"]`, `["REGISTRY",1,0,2,9]`,
	} {
		lines := batch("1000", begin("1", "11"), begin("2", "22"))
		lines = append(lines, batch("1005", []string{bad, bad, `["ALARM",1,"sweep"]`,
			`["JOB_IN",2,"a",null,null,1,500,"look"]`})...)
		out, errorLog, err := run(t, lines...)
		if err != nil || strings.Count(out, `["BROKEN",1,`) != 1 || strings.Count(errorLog, "\n") != 1 ||
			!strings.Contains(out, `["TRY",2,"a",22,`) {
			t.Errorf("%s: %s%s%v", bad, out, errorLog, err)
		}
	}
	out, errorLog, err := run(t, batch("1000", []string{`["ALARM",4,"x"]`})...)
	if err != nil || !strings.Contains(out, `["BROKEN",4,`) || !strings.Contains(errorLog, "never started") {
		t.Error(out, errorLog, err)
	}
}

func TestDefectsThatEndTheRun(t *testing.T) {
	for _, lines := range [][]string{
		{`nonsense`}, {`["ALARM",1,"x"]`}, {`["TICK",1]`, `["TICK",2]`}, {`["FLUSH"]`}, {`["TICK",1]`},
		{`["TICK",1]`, `["LEDGER",99,[]]`},
	} {
		if _, _, err := run(t, lines...); err == nil {
			t.Errorf("%v was accepted", lines)
		}
	}
}
