package testcluster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblespan/internal/config/lines"
)

// Fault is one line of a script: a fault that is injected at a time and repaired after a duration.
type Fault struct {
	At            time.Duration
	Verb          string
	From          []int         // numbers, from 1, of the affected or sending gateways; nil means all
	To            []int         // numbers of the receiving gateways; nil means all
	Bidirectional bool          // the fault also applies to the opposite direction
	Name          string        // name of a server, a disk operation or a file fault
	Amount        float64       // a share, a number of copies, or bytes per second
	Delay         time.Duration // a delay or a lag
	Jitter        time.Duration // the jitter of a delay
	Duration      time.Duration // 0 means until the end of the run
}

// targetShape is the syntax of the target of a fault kind.
type targetShape uint8

const (
	onNodes       targetShape = iota // stop 1,2
	onPaths                          // cut 1 -> 2, cut 1 <-> all
	onPartitions                     // split 1,2 | 3,4
	onServer                         // sever 1 -> p
	onNamedServer                    // lag r1
)

// faultKind describes one kind of fault.
type faultKind struct {
	target      targetShape
	parseValue  func(f *Fault, text string) bool // parses the value after the target; nil if there is none
	formatValue func(f Fault) string             // the inverse of parseValue
	instant     bool                             // the fault takes effect immediately and has no duration
	scriptOnly  bool                             // DrawFaults does not draw it
	help        string
}

func parsePercent(f *Fault, text string) bool {
	n, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	f.Amount = n / 100
	return err == nil && strings.HasSuffix(text, "%") && n >= 0 && n <= 100
}

func formatPercent(f Fault) string { return strconv.FormatFloat(f.Amount*100, 'f', -1, 64) + "%" }

func parseCount(f *Fault, text string) bool {
	n, err := strconv.Atoi(text)
	f.Amount = float64(n)
	return err == nil && n > 0
}

func formatCount(f Fault) string { return strconv.Itoa(int(f.Amount)) }

func parseDelay(f *Fault, text string) bool {
	minimum, maximum, jitters := strings.Cut(text, "..")
	var err, err2 error
	if f.Delay, err = time.ParseDuration(minimum); jitters {
		f.Jitter, err2 = time.ParseDuration(maximum)
		f.Jitter -= f.Delay
	}
	return err == nil && err2 == nil && f.Delay >= 0 && f.Jitter >= 0
}

func formatDelay(f Fault) string {
	if f.Jitter > 0 {
		return f.Delay.String() + ".." + (f.Delay + f.Jitter).String()
	}
	return f.Delay.String()
}

func parseDiskOperation(f *Fault, text string) bool {
	f.Name = text
	return slices.Contains(diskOperations, text)
}

func formatName(f Fault) string { return f.Name }

// diskOperations are the operations on a data directory. The gateway should not run during these operations.
var diskOperations = []string{"empty", "save", "old"}

func parseFileFault(f *Fault, text string) bool {
	f.Name = text
	return slices.Contains(fileFaults, text)
}

// fileFaults are the faults that a gateway sees when it writes files.
var fileFaults = []string{"full", "read-only"}

// The verbs of faults in scripts.
const (
	verbKill      = "kill"
	verbTerm      = "term"
	verbStop      = "stop"
	verbStarve    = "starve"
	verbDisk      = "disk"
	verbFiles     = "files"
	verbCut       = "cut"
	verbStall     = "stall"
	verbReset     = "reset"
	verbLoss      = "loss"
	verbDelay     = "delay"
	verbDuplicate = "duplicate"
	verbReorder   = "reorder"
	verbSlow      = "slow"
	verbSplit     = "split"
	verbSever     = "sever"
	verbLag       = "lag"
	verbPromote   = "promote"
	verbHandover  = "handover"
	verbDrain     = "drain"
)

// faultKinds maps each verb to its kind of fault.
var faultKinds = map[string]faultKind{
	verbKill:      {target: onNodes, help: "SIGKILL; the gateway is started again after the duration"},
	verbTerm:      {target: onNodes, help: "SIGTERM; the gateway is started again after the duration, once it has ended"},
	verbStop:      {target: onNodes, help: "SIGSTOP, and SIGCONT after the duration"},
	verbStarve:    {target: onNodes, parseValue: parsePercent, formatValue: formatPercent, help: "the gateway is stopped for a share of the time, in periods of 20 ms"},
	verbDisk:      {target: onNodes, parseValue: parseDiskOperation, formatValue: formatName, instant: true, scriptOnly: true, help: "the data directory: empty (remove all files), save (make a copy), old (restore the copy)"},
	verbFiles:     {target: onNodes, parseValue: parseFileFault, formatValue: formatName, help: "full: no file can grow; read-only: no file can be written"},
	verbCut:       {target: onPaths, help: "datagrams are lost and streams stall"},
	verbStall:     {target: onPaths, help: "streams stall, but datagrams arrive"},
	verbReset:     {target: onPaths, instant: true, help: "open streams are reset"},
	verbLoss:      {target: onPaths, parseValue: parsePercent, formatValue: formatPercent, help: "a share of the datagrams is lost; stream data is late"},
	verbDelay:     {target: onPaths, parseValue: parseDelay, formatValue: formatDelay, help: "datagrams and stream data are delayed: 200ms, or 100ms..1s"},
	verbDuplicate: {target: onPaths, parseValue: parseCount, formatValue: formatCount, help: "the number of additional copies of each datagram"},
	verbReorder:   {target: onPaths, help: "each pair of datagrams arrives in reverse order"},
	verbSlow:      {target: onPaths, parseValue: parseCount, formatValue: formatCount, help: "the limit of each stream in bytes per second"},
	verbSplit:     {target: onPartitions, help: "the two parts cannot reach each other"},
	verbSever:     {target: onServer, help: "a gateway cannot reach a server, or discovery"},
	verbLag:       {target: onNamedServer, parseValue: parseDelay, formatValue: formatDelay, help: "a replica falls behind by this much"},
	verbPromote:   {target: onNamedServer, scriptOnly: true, help: "a replica becomes the primary; the former primary is cut off for the duration and then is a replica"},
	verbHandover:  {target: onNamedServer, scriptOnly: true, help: "the primary becomes a replica but finishes its requests; this server becomes the primary after the duration"},
	verbDrain:     {target: onNamedServer, help: "the endpoint list shows a server as draining"},
}

// formatNodes formats a list of gateways as in a script.
func formatNodes(list []int) string {
	if list == nil {
		return "all"
	}
	words := make([]string, len(list))
	for i, n := range list {
		words[i] = strconv.Itoa(n)
	}
	return strings.Join(words, ",")
}

// String formats the fault as a line of a script.
func (f Fault) String() string {
	v := faultKinds[f.Verb]
	words := []string{"at", f.At.String(), f.Verb}
	arrow := "->"
	if f.Bidirectional {
		arrow = "<->"
	}
	switch v.target {
	case onNodes:
		words = append(words, formatNodes(f.From))
	case onPaths:
		words = append(words, formatNodes(f.From), arrow, formatNodes(f.To))
	case onPartitions:
		words = append(words, formatNodes(f.From), "|", formatNodes(f.To))
	case onServer:
		words = append(words, formatNodes(f.From), "->", f.Name)
	case onNamedServer:
		words = append(words, f.Name)
	}
	if v.parseValue != nil {
		words = append(words, v.formatValue(f))
	}
	if f.Duration > 0 {
		words = append(words, "for", f.Duration.String())
	}
	return strings.Join(words, " ")
}

// ParseFault parses one line of a script.
func ParseFault(line string) (Fault, error) {
	all, err := ParseScript("fault", line)
	if err != nil {
		return Fault{}, err
	}
	if len(all) != 1 {
		return Fault{}, fmt.Errorf("%q is not one fault", line)
	}
	return all[0], nil
}

// ParseScript parses a script, which has one fault per line, in any order, in the syntax of the operators' file. The error lists the
// errors of all lines. The result is sorted by time.
func ParseScript(file, text string) ([]Fault, error) {
	directives, faults := lines.Parse(file, text)
	var out []Fault
	for _, d := range directives {
		f, wrong := parseFault(d)
		if wrong != "" {
			faults = append(faults, lines.Fault{File: file, Line: d.Line, Directive: d.Name, Text: wrong})
			continue
		}
		out = append(out, f)
	}
	if len(faults) > 0 {
		slices.SortStableFunc(faults, func(a, b lines.Fault) int { return a.Line - b.Line })
		return nil, faults
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

// words are the values of a directive that are not yet parsed.
type words []string

// next removes and returns the next value, or returns "" if there is none.
func (w *words) next() string {
	if len(*w) == 0 {
		return ""
	}
	first := (*w)[0]
	*w = (*w)[1:]
	return first
}

func parseFault(directive lines.Directive) (fault Fault, wrong string) {
	if directive.Name != "at" {
		return fault, "unknown directive; valid directives here: at"
	}
	remaining := words(directive.Values)
	when := remaining.next()
	var err error
	if fault.At, err = time.ParseDuration(when); err != nil || fault.At < 0 {
		return fault, fmt.Sprintf("%q is not a valid start time; want the time since the run began, such as 3s", when)
	}
	fault.Verb = remaining.next()
	kind, ok := faultKinds[fault.Verb]
	if !ok {
		known := make([]string, 0, len(faultKinds))
		for name := range faultKinds {
			known = append(known, name)
		}
		slices.Sort(known)
		return fault, fmt.Sprintf("%q is not a fault; the faults are %s", fault.Verb, strings.Join(known, ", "))
	}
	if wrong = fault.parseTarget(kind.target, &remaining); wrong != "" {
		return fault, wrong
	}
	if kind.parseValue != nil {
		if text := remaining.next(); !kind.parseValue(&fault, text) {
			return fault, fmt.Sprintf("%q is not a valid value of %s: %s", text, fault.Verb, kind.help)
		}
	}
	if text := remaining.next(); text != "" {
		long := remaining.next()
		if fault.Duration, err = time.ParseDuration(long); text != "for" || err != nil || fault.Duration <= 0 || kind.instant || len(remaining) > 0 {
			return fault, fmt.Sprintf("%q is not valid after %s", strings.Join(append([]string{text, long}, remaining...), " "), fault.Verb)
		}
	}
	return fault, ""
}

// parseTarget parses the target of a fault. It returns an error text, or "" if the target is valid.
func (f *Fault) parseTarget(shape targetShape, remaining *words) (wrong string) {
	list := func(into *[]int) {
		text := remaining.next()
		if text == "all" || wrong != "" {
			return
		}
		for _, x := range strings.Split(text, ",") {
			n, err := strconv.Atoi(x)
			if err != nil || n < 1 || n > MaxNodes {
				wrong = fmt.Sprintf("%q is not a list of gateways, such as 1,2 or all", text)
				return
			}
			*into = append(*into, n)
		}
	}
	between := func(signs ...string) {
		if sign := remaining.next(); wrong == "" && !slices.Contains(signs, sign) {
			wrong = fmt.Sprintf("found %q instead of %s", sign, strings.Join(signs, " or "))
		} else {
			f.Bidirectional = sign == "<->"
		}
	}
	switch shape {
	case onNodes:
		list(&f.From)
	case onPaths:
		list(&f.From)
		between("->", "<->")
		list(&f.To)
	case onPartitions:
		list(&f.From)
		between("|")
		list(&f.To)
	case onServer:
		list(&f.From)
		between("->")
		f.Name = remaining.next()
	case onNamedServer:
		f.Name = remaining.next()
	}
	if wrong == "" && (shape == onServer || shape == onNamedServer) && f.Name == "" {
		wrong = "the name of a server is missing"
	}
	return wrong
}

// FormatScript formats faults as a script, which ParseScript parses to the same faults.
func FormatScript(faults []Fault) string {
	var b strings.Builder
	for _, f := range faults {
		b.WriteString(f.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// affects reports whether a fault of paths or partitions applies to the traffic from one gateway to another.
func (f Fault) affects(from, to int) bool {
	in := func(list []int, n int) bool { return list == nil || slices.Contains(list, n) }
	there := in(f.From, from) && in(f.To, to)
	back := in(f.From, to) && in(f.To, from)
	return from != to && (there || (f.Bidirectional || f.Verb == verbSplit) && back)
}

// DrawFaults draws a random schedule of faults from a seed, with about one fault per second. Each fault is repaired well before the
// end. Every kind is drawn once before any kind is drawn again.
func DrawFaults(seed uint64, gateways, replicas int, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, uint64(gateways)))
	var bag []string
	var out []Fault
	last := length * 4 / 5
	for at := 500 * time.Millisecond; at < last; at += time.Duration(500+rng.IntN(1000)) * time.Millisecond {
		if len(bag) == 0 {
			for name, v := range faultKinds {
				if !v.scriptOnly {
					bag = append(bag, name)
				}
			}
			slices.Sort(bag)
			rng.Shuffle(len(bag), func(i, j int) { bag[i], bag[j] = bag[j], bag[i] })
		}
		f := Fault{At: at, Verb: bag[0]}
		bag = bag[1:]
		if f.drawDetails(rng, gateways, replicas); f.At+f.Duration < last {
			out = append(out, f)
		}
	}
	return out
}

// drawDetails draws a fault's target, amount and duration.
func (f *Fault) drawDetails(rng *rand.Rand, gateways, replicas int) {
	some := func(maxCount int) (list []int) {
		all := rng.Perm(gateways)
		for _, n := range all[:1+rng.IntN(max(1, min(maxCount, gateways-1)))] {
			list = append(list, n+1)
		}
		slices.Sort(list)
		return list
	}
	step := 100 * time.Millisecond
	f.Duration = step * time.Duration(5+rng.IntN(25))
	third := max(1, gateways/3)
	switch f.Verb {
	case verbKill, verbTerm:
		f.From = some(third)
	case verbStop:
		f.From, f.Duration = some(third), step*time.Duration(3+rng.IntN(47))
	case verbStarve:
		f.From, f.Amount = some(third), float64(30+rng.IntN(60))/100
	case verbSplit:
		f.From = some(gateways - 1)
		for n := 1; n <= gateways; n++ {
			if !slices.Contains(f.From, n) {
				f.To = append(f.To, n)
			}
		}
	case verbCut, verbStall, verbReset, verbReorder:
		f.From, f.To, f.Bidirectional = some(third), some(gateways), rng.IntN(2) == 0
	case verbLoss:
		f.Amount = float64(5+rng.IntN(30)) / 100
	case verbDelay:
		f.Delay, f.Jitter = step*time.Duration(rng.IntN(3)), step*time.Duration(1+rng.IntN(9))
	case verbDuplicate:
		f.Amount = float64(1 + rng.IntN(3))
	case verbSlow:
		f.From, f.Amount = some(third), float64(1000*(1+rng.IntN(20)))
	case verbSever:
		f.From = some(third)
		f.Name = [...]string{"p", "r1", Discovery}[rng.IntN(3)]
	case verbFiles:
		f.From, f.Name = some(third), fileFaults[rng.IntN(len(fileFaults))]
	case verbLag:
		f.Name, f.Delay = fmt.Sprint("r", 1+rng.IntN(replicas)), step*time.Duration(2+rng.IntN(30))
	case verbDrain:
		f.Name = fmt.Sprint("r", 1+rng.IntN(replicas))
	}
	if faultKinds[f.Verb].instant {
		f.Duration = 0
	}
}
