package session

import (
	"encoding/binary"
	"testing"
	"time"

	"marblespan/internal/fake"
	"marblespan/internal/policy"
	"marblespan/internal/routing"
)

// Whether an attempt ran is derived from the bytes alone. An answer proves that it ran, whatever role the server reports. Only a
// refusal by the server, or an unwritten last byte of the request, proves that it did not run.
func TestExecutionOfAttempts(t *testing.T) {
	row := string(fake.RowMessages([]byte("v")))
	rowDescription := 1 + int(binary.BigEndian.Uint32([]byte(row[1:])))
	reply := func(raw string) func(*fake.Query) { return func(q *fake.Query) { q.Write([]byte(raw)) } }
	refusal := func(code string) func(*fake.Query) { return func(q *fake.Query) { q.ReplyError(code) } }
	replica := message('S', "role\x00replica\x00")
	for name, c := range map[string]struct {
		handler   func(*fake.Query)
		result    policy.Result
		execution policy.Execution
	}{
		"an answer":                        {reply(row + message('Z', "I")), policy.ResultOK, policy.ExecutionDone},
		"an answer of a replica":           {reply(replica + row + replica + message('Z', "I")), policy.ResultOK, policy.ExecutionDone},
		"an answer with a broken end":      {reply(row + message('Z', "T")), policy.ResultError, policy.ExecutionUnknown},
		"overloaded":                       {refusal("53300"), policy.ResultOverloaded, policy.ExecutionNone},
		"no primary":                       {refusal("25006"), policy.ResultMisdirected, policy.ExecutionNone},
		"too far behind":                   {refusal("72000"), policy.ResultMisdirected, policy.ExecutionNone},
		"an error":                         {refusal("XX000"), policy.ResultError, policy.ExecutionUnknown},
		"a system error":                   {refusal("58000"), policy.ResultError, policy.ExecutionUnknown},
		"not ready for connections":        {refusal("57P03"), policy.ResultError, policy.ExecutionUnknown},
		"ended by an administrator":        {refusal("57P01"), policy.ResultError, policy.ExecutionUnknown},
		"a refusal after part of a row":    {reply(row[:rowDescription] + message('E', "SERROR\x00C53300\x00M\x00\x00") + message('Z', "I")), policy.ResultError, policy.ExecutionUnknown},
		"a row after a refusal":            {reply(message('E', "SERROR\x00C53300\x00Mno\x00\x00") + row), policy.ResultError, policy.ExecutionUnknown},
		"a close instead of an answer":     {func(q *fake.Query) { q.CloseConn() }, policy.ResultReset, policy.ExecutionUnknown},
		"a reset in the middle of the row": {func(q *fake.Query) { q.Write([]byte(row[:30])); q.CloseConn() }, policy.ResultReset, policy.ExecutionUnknown},
	} {
		r := newHarness(t)
		r.server.SetQueryHandler(c.handler)
		r.servers.Send(r.job("a"))
		e := r.attemptEnded()
		if e.Result != c.result || e.Execution != c.execution {
			t.Errorf("%s: %s, execution %s", name, routing.ResultNames[e.Result], policy.ExecutionNames[e.Execution])
		}
		e.Value.Free()
	}
}

// An attempt whose last byte was not written has certainly not run, whatever ended it.
func TestExecutionOfUnsentAttempts(t *testing.T) {
	for name, prepare := range map[string]func(*harness){
		"no such server":        func(r *harness) { r.servers.Forget(1) },
		"refused connection":    func(r *harness) { r.server.Close() },
		"rejected at start-up":  func(r *harness) { r.server.RejectStartups("53300") },
		"not ready at start-up": func(r *harness) { r.server.RejectStartups("57P03") },
	} {
		r := newHarness(t)
		prepare(r)
		r.servers.Send(r.job("a"))
		if e := r.attemptEnded(); e.Execution != policy.ExecutionNone || len(r.server.Queries()) != 0 {
			t.Errorf("%s: %s, execution %s", name, routing.ResultNames[e.Result], policy.ExecutionNames[e.Execution])
		}
	}
}

// A server may send a refusal twice. The duplicate may arrive just after the next request was written and look like its answer. If
// the next request was written right after the first refusal, the same refusal proves nothing about it, and the connection is not
// used again. A refusal of a request written after duplicateRefusalWindow counts as genuine.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	r := newHarness(t)
	r.server.SetQueryHandler(func(q *fake.Query) {
		q.ReplyError("53300")
		if q.ID() == "crossing" {
			q.ReplyRow([]byte("v"))
		}
	})
	send := func(id string, refusedBefore time.Duration, want policy.Execution) {
		t.Helper()
		idle := &r.servers.endpointOf(1).idle
		if conn, ok := idle.Take(); ok {
			conn.refusedAt = time.Now().Add(-refusedBefore)
			idle.Put(conn)
		}
		r.servers.Send(r.job(id))
		if e := r.attemptEnded(); e.Result != policy.ResultOverloaded || e.Execution != want {
			t.Errorf("%s: %s, execution %s", id, routing.ResultNames[e.Result], policy.ExecutionNames[e.Execution])
		}
	}
	send("first", 0, policy.ExecutionNone)
	send("later", duplicateRefusalWindow, policy.ExecutionNone)
	send("crossing", -time.Hour, policy.ExecutionUnknown)
	send("on-a-new-connection", 0, policy.ExecutionNone)
	if n := r.server.ConnsOpened(); n != 2 {
		t.Errorf("%d connections opened, want 2", n)
	}
}
