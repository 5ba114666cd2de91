package session

import (
	"bytes"
	"strconv"
	"time"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/protocol/postgres"
	"marblespan/internal/routing"
)

// lookup is the routing.Client of a read that the gateway itself sends.
type lookup struct {
	done func(row, answer []byte, ok bool)
}

// Answer passes the final answer to done.
func (l *lookup) Answer(a routing.Answer) {
	if a.Kind != routing.AnswerServed {
		l.done(nil, nil, false)
		return
	}
	row, answer := postgres.InsertResponse(bytes.Join(a.Value.BuffersFrom(0), nil))
	a.Value.Free()
	l.done(row, answer, answer != nil)
}

// Gone reports false: the gateway itself waits for the answer.
func (l *lookup) Gone() bool { return false }

// Lookup reads the current value of a key, to find out whether an in-doubt write has run. The read is routed like a client's
// request. Lookup passes to done the row, and the answer that the write itself would have received. It calls done once; done must
// not block.
func (s *Clients) Lookup(class, key string, group int, deadline time.Time, done func(row, answer []byte, ok bool)) {
	inForce := s.InForce.Load()
	index, known := inForce.ClassIndex[class]
	wait := time.Until(deadline).Milliseconds()
	if !known || inForce.IsWrite(index) || wait <= 0 {
		done(nil, nil, false)
		return
	}
	id := "look-" + strconv.FormatInt(s.lookups.Add(1), 36) + "-" + strconv.FormatInt(int64(s.Clock.Now()), 36)
	statement := postgres.SelectStatement(id, class, key, group, wait)
	text := s.Buffers.NewMessage()
	text.Append(statement)
	st, err := postgres.ParseStatement(text.BuffersFrom(0))
	if err != nil {
		text.Free()
		done(nil, nil, false)
		return
	}
	now := s.Clock.Now()
	s.Owner.Post(&routing.Request{
		Client: &lookup{done}, ClientID: id, Payload: &query{text: text, statement: st}, Settings: inForce, ReadAt: now, UnstatedPosition: now,
		Arrival: policy.Arrival{Class: index, Group: group}, Timeout: clock.Micros(wait) * 1000,
	})
}
