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

// query is the common part of the commands that query a running gateway.
type query struct {
	*command
	socket string // --socket; empty: the socket in the operators' file
	json   bool   // --json
}

// newQuery returns a query and adds the flags that all queries have.
func (c *command) newQuery(flags *pflag.FlagSet) *query {
	q := &query{command: c}
	flags.StringVar(&q.socket, "socket", "", "path of the gateway's control socket (default: the one in the operators' file)")
	flags.BoolVar(&q.json, "json", false, "print the answer as JSON")
	return q
}

// fetch sends a question to the gateway and decodes the answer. The questions must not change, because the gateway may have
// another version than this program.
func (q *query) fetch(question string, into any) error {
	socket := q.socket
	if socket == "" {
		operators, err := config.LoadOperators(q.operatorsPath())
		if err != nil {
			return err
		}
		if socket = operators.Control; socket == "" {
			return usageError{errors.New("no control socket: give its path with --socket, or an operators' file that has one with --conf")}
		}
	}
	return control.Query(socket, question, into)
}

// printAnswer sends a question whose answer is a sentence, and prints the sentence.
func (q *query) printAnswer(question string) error {
	var answer string
	if err := q.fetch(question, &answer); err != nil {
		return err
	}
	_, err := fmt.Fprintln(q.out, answer)
	return err
}

// writeJSON prints an answer as indented JSON.
func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// milliseconds converts a number of milliseconds from an answer to a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// roundTrip formats a round-trip time for a table.
func roundTrip(micros int64) string {
	if micros <= 0 {
		return "-"
	}
	return (time.Duration(micros) * time.Microsecond).String()
}

// yesOrNo formats a boolean for a table.
func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash formats a text for a table, with a dash for an empty text.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
