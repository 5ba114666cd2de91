package postgres

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"testing"
)

func message(kind byte, body string) []byte {
	b, at := beginMessage(nil, kind)
	return finishMessage(append(b, body...), at)
}

func TestParseHeader(t *testing.T) {
	for _, c := range []struct {
		in   []byte
		body int
		ok   bool
	}{
		{[]byte{'Q', 0, 0, 0, 4}, 0, true},
		{[]byte{'Q', 0, 0, 1, 4}, 256, true},
		{[]byte{'Q', 0, 0, 0, 3}, 0, false},
		{[]byte{'Q', 0, 0, 0, 0}, 0, false},
		{[]byte{'Q', 255, 255, 255, 255}, 0, false},
		{[]byte{'Q', 0, 4, 0, 5}, 0, false},
	} {
		h, err := ParseHeader(c.in)
		if (err == nil) != c.ok || c.ok && h.Body != c.body {
			t.Errorf("%v: %+v, %v", c.in, h, err)
		}
	}
}

func TestStartup(t *testing.T) {
	packet := AppendStartup(nil, "backend", "store")
	n, err := StartupLength(packet)
	if err != nil || n != len(packet)-4 {
		t.Fatalf("length %d of %d: %v", n, len(packet)-4, err)
	}
	kind, s, err := ParseStartup(packet[4:])
	if err != nil || kind != StartupSession || s.User != "backend" || s.Database != "store" {
		t.Errorf("%v %+v %v", kind, s, err)
	}
	code := func(v uint32, rest string) []byte { return append(binary.BigEndian.AppendUint32(nil, v), rest...) }
	for _, c := range []struct {
		name string
		in   []byte
		want StartupKind
		fail string
	}{
		{"ssl", code(sslRequestCode, ""), StartupEncryption, ""},
		{"gss", code(gssEncRequestCode, ""), StartupEncryption, ""},
		{"cancel", code(cancelRequestCode, "12345678"), StartupCancelRequest, ""},
		{"minor version", code(version3|2, "user\x00u\x00\x00"), StartupSession, ""},
		{"version 2", code(2<<16, "user\x00u\x00\x00"), 0, "protocol 2.0"},
		{"no end", code(version3, "user\x00u"), 0, "no value"},
		{"nothing", code(version3, ""), 0, "no end"},
		{"no user", code(version3, "database\x00d\x00\x00"), 0, "no user"},
		{"short", []byte{0, 3}, 0, "too short"},
	} {
		got, _, err := ParseStartup(c.in)
		if c.fail == "" && (err != nil || got != c.want) || c.fail != "" &&
			(err == nil || !strings.Contains(err.Error(), c.fail)) {
			t.Errorf("%s: %v, %v", c.name, got, err)
		}
	}
	for _, n := range []uint32{0, 7, MaxStartup + 1, 1 << 31} {
		if _, err := StartupLength(binary.BigEndian.AppendUint32(nil, n)); err == nil {
			t.Errorf("start-up of %d bytes was accepted", n)
		}
	}
}

// reply handles messages and returns the resulting state.
func reply(t *testing.T, stream []byte) (Reply, error) {
	t.Helper()
	var r Reply
	for len(stream) > 0 {
		h, err := ParseHeader(stream)
		if err != nil {
			return r, err
		}
		if err := r.Handle(h, stream[HeaderSize:HeaderSize+h.Body]); err != nil {
			return r, err
		}
		stream = stream[HeaderSize+h.Body:]
	}
	return r, nil
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

var (
	oneColumn = message('T', "\x00\x01content\x00"+strings.Repeat("\x00", 17)+"\x01")
	row       = message('D', "\x00\x01\x00\x00\x00\x02ab")
	tag       = message('C', "SELECT 1\x00")
	ready     = AppendReadyForQuery(nil)
)

func TestReply(t *testing.T) {
	role := message('S', "role\x00primary\x00")
	at := message('S', "applied_ms\x001767225600123\x00")
	load := message('S', "load\x00inflight=7,util=0.61\x00")
	for _, c := range []struct {
		name     string
		in       []byte
		complete bool
		code     string
		ready    bool
	}{
		{"served", join(oneColumn, row, tag, role, at, load, ready), true, "", true},
		{"not yet ready", join(oneColumn, row, tag), true, "", false},
		{"row without an end", join(oneColumn, row), false, "", false},
		{"notices and parameters between", join(oneColumn, message('N', "any"), row, load, tag, ready), true, "", true},
		{"malformed parameter", join(message('S', "load"), oneColumn, row, tag, ready), true, "", true},
		{"miss", join(AppendErrorResponse(nil, false, CodeReadOnlyTransaction, "m", 0), role, ready), false, CodeReadOnlyTransaction, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := reply(t, c.in)
			if err != nil || r.Complete() != c.complete || r.Code != c.code || r.Ready != c.ready {
				t.Errorf("%s: %+v, %v", c.name, r, err)
			}
		})
	}
	r, _ := reply(t, join(role, at, load))
	if r.Params != (Params{"primary", "1767225600123", "inflight=7,util=0.61"}) {
		t.Errorf("params: %+v", r.Params)
	}
	if r, _ := reply(t, AppendErrorResponse(nil, true, CodeTooManyConnections, "m", 0)); !r.Fatal {
		t.Error("a fatal error was not recognized")
	}
}

func TestReplyRejects(t *testing.T) {
	failed := AppendErrorResponse(nil, false, "XX000", "m", 0)
	for name, in := range map[string][]byte{
		"row without a description":  row,
		"two rows":                   join(oneColumn, row, row),
		"two columns":                message('T', "\x00\x02"),
		"two descriptions":           join(oneColumn, oneColumn),
		"description cut short":      message('T', "\x00\x01content\x00\x00"),
		"description with more":      message('T', "\x00\x01content\x00"+strings.Repeat("\x00", 19)),
		"description without a name": message('T', "\x00\x01"+strings.Repeat("\x00", 19)),
		"unknown format":             message('T', "\x00\x01c\x00"+strings.Repeat("\x00", 17)+"\x07"),
		"row of another length":      join(oneColumn, message('D', "\x00\x01\x00\x00\x00\x09ab")),
		"row of a negative length":   join(oneColumn, message('D', "\x00\x01\xff\xff\xff\xfeab")),
		"null":                       join(oneColumn, message('D', "\x00\x01\xff\xff\xff\xff")),
		"row of two columns":         join(oneColumn, message('D', "\x00\x02\x00\x00\x00\x02ab")),
		"short row":                  join(oneColumn, message('D', "\x00\x01")),
		"no row":                     join(oneColumn, tag),
		"tag alone":                  tag,
		"tag without an end":         join(oneColumn, row, message('C', "SELECT 1")),
		"empty tag":                  join(oneColumn, row, message('C', "\x00")),
		"unprintable tag":            join(oneColumn, row, message('C', "SEL\x80CT\x00")),
		"two tags":                   join(oneColumn, row, tag, tag),
		"error after a row":          join(oneColumn, row, failed),
		"error after the response":   join(oneColumn, row, tag, failed),
		"two errors":                 join(failed, failed),
		"error without a code":       message('E', "Mx\x00\x00"),
		"error with half a code":     message('E', "C533\x00\x00"),
		"error without an end":       message('E', "C53300\x00"),
		"data after an error's end":  message('E', "C53300\x00\x00more"),
		"row after an error":         join(failed, oneColumn),
		"ready without a response":   ready,
		"ready after half of one":    join(oneColumn, row, ready),
		"ready in a transaction":     join(oneColumn, row, tag, message('Z', "T")),
		"ready without a status":     join(oneColumn, row, tag, message('Z', "")),
		"empty query response":       message('I', ""),
		"authentication in a query":  message('R', "\x00\x00\x00\x00"),
		"copy":                       message('G', "\x00"),
	} {
		t.Run(name, func(t *testing.T) {
			if r, err := reply(t, in); err == nil {
				t.Errorf("%s was accepted: %+v", name, r)
			}
		})
	}
}

func TestReplyToStartup(t *testing.T) {
	admitted := message('R', "\x00\x00\x00\x00")
	for _, c := range []struct {
		name            string
		in              []byte
		accepted, ready bool
	}{
		{"admitted", join(admitted, message('S', "role\x00primary\x00"), message('K', "12345678"), ready), true, true},
		{"rejected", AppendErrorResponse(nil, true, CodeTooManyConnections, "m", 0), true, false},
		{"password required", message('R', "\x00\x00\x00\x03"), false, false},
		{"ready at once", ready, false, false},
		{"a row", join(admitted, oneColumn), false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := Reply{Startup: true}, error(nil)
			for in := c.in; len(in) > 0 && err == nil; {
				h, _ := ParseHeader(in)
				err = r.Handle(h, in[HeaderSize:HeaderSize+h.Body])
				in = in[HeaderSize+h.Body:]
			}
			if (err == nil) != c.accepted || r.Ready != c.ready || r.Complete() {
				t.Errorf("%s: %+v, %v", c.name, r, err)
			}
		})
	}
}

func TestErrorResponseRoundTrip(t *testing.T) {
	b := AppendErrorResponse(nil, false, CodeTooManyConnections, "later", 250)
	code, fatal, err := parseErrorResponse(b[HeaderSize:])
	if err != nil || code != CodeTooManyConnections || fatal || !bytes.Contains(b, []byte("\x00D250\x00")) {
		t.Errorf("%q: %s, %v", b, code, fatal)
	}
	if bytes.Contains(AppendErrorResponse(nil, false, CodeTooManyConnections, "later", 0), []byte("\x00D")) {
		t.Error("a detail field without a time to retry")
	}
}

func TestLoadFields(t *testing.T) {
	got, ok := LoadFields("x0=1796133629.802, x1=0,util=0.61")
	want := []Field{{"x0", "1796133629.802"}, {"x1", "0"}, {"util", "0.61"}}
	if !ok || !slices.Equal(got, want) {
		t.Errorf("%v, %v", got, ok)
	}
	if got, ok := LoadFields(""); got != nil || !ok {
		t.Error("an empty report must have no fields and be well-formed")
	}
	if got, ok := LoadFields("x0=1,broken,util=0.61"); got != nil || ok {
		t.Errorf("part of a malformed report was accepted: %v", got)
	}
}

func FuzzReply(f *testing.F) {
	f.Add(join(oneColumn, row, tag, ready))
	f.Add(AppendErrorResponse(nil, true, "XX000", "m", 0))
	f.Add(message('S', "role\x00primary\x00"))
	f.Add(message('D', "\x00\x01\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var r Reply
		var kinds []byte
		for len(in) >= HeaderSize {
			h, err := ParseHeader(in)
			if err != nil || h.Body > len(in)-HeaderSize {
				return
			}
			body := in[HeaderSize : HeaderSize+h.Body]
			if r.Handle(h, body) != nil {
				return
			}
			RowValue(body)
			kinds = append(kinds, h.Type)
			if r.Complete() && strings.NewReplacer("S", "", "N", "", "Z", "").Replace(string(kinds)) != "TDC" {
				t.Fatalf("complete after messages %q", kinds)
			}
			in = in[HeaderSize+h.Body:]
		}
	})
}

func FuzzStartup(f *testing.F) {
	f.Add(AppendStartup(nil, "backend", "store")[4:])
	f.Add([]byte{4, 210, 22, 47})
	f.Fuzz(func(t *testing.T, in []byte) {
		if kind, s, err := ParseStartup(in); err == nil && kind == StartupSession && s.User == "" {
			t.Fatal("a session without a user")
		}
	})
}
