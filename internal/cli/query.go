package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/pflag"

	"marblespan/internal/config"
	"marblespan/internal/control"
)

// query is what the commands that ask a running gateway have in common.
type query struct {
	*command
	socket string // --socket; empty: the one that the operators' file names
	json   bool   // --json
}

// newQuery adds the flags that all queries have.
func (c *command) newQuery(flags *pflag.FlagSet) *query {
	q := &query{command: c}
	flags.StringVar(&q.socket, "socket", "", "the gateway's control socket (default: as the operators' file says)")
	flags.BoolVar(&q.json, "json", false, "print the answer as JSON")
	return q
}

// fetch asks the gateway a question and decodes its answer. The questions are part of what gateways and commands of different
// versions say to each other, and keep their words.
func (q *query) fetch(question string, into any) error {
	socket := q.socket
	if socket == "" {
		operators, err := config.LoadOperators(q.operatorsPath())
		if err != nil {
			return err
		}
		if socket = operators.Control; socket == "" {
			return usageError{errors.New("no control socket: name one with --socket, or a file that has one with --conf")}
		}
	}
	return control.Query(socket, question, into)
}

// printSentence asks a question that is answered by a sentence, and prints that.
func (q *query) printSentence(question string) error {
	var answer string
	if err := q.fetch(question, &answer); err != nil {
		return err
	}
	_, err := fmt.Fprintln(q.out, answer)
	return err
}

// writeJSON prints an answer as it came, indented.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// milliseconds is a duration as an answer has it.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// roundTrip is a round trip time as a table shows it.
func roundTrip(micros int64) string {
	if micros <= 0 {
		return "-"
	}
	return (time.Duration(micros) * time.Microsecond).String()
}

// yesOrNo is a switch as a table shows it.
func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash is a text as a table shows it, which has no empty cells.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
