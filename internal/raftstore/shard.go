package raftstore

import (
	"bytes"
	"errors"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/clock"
)

// clientRetention is how long a client's latest results are kept after its last command, in microseconds.
const clientRetention clock.Micros = 600 * 1_000_000

// errFormatTooNew means that records are in a format that only a later version understands.
var errFormatTooNew = errors.New("the records are in a format of a later version")

// record is one record of a shard.
type record struct {
	value      []byte
	version    uint64 // the shard's version at the record's last write; no two writes have the same version
	position   uint64
	isPosition bool
	expiresAt  clock.Micros
	changedAt  clock.Micros
}

// client holds the results of one client's commands, so that a command that arrives twice is applied only once.
type client struct {
	lastSeen   clock.Micros
	results    map[uint64]*api.Reply // by sequence; a result is kept as long as its command may arrive again
	minPending uint64                // a command with a lower sequence is a late duplicate and is not applied
}

// shard is the state machine of one shard.
type shard struct {
	maxBytes     int64
	now          clock.Micros
	lostAt       clock.Micros // time at which this epoch began, if the previous epoch ended with the loss of its quorum; else 0
	resetPending bool         // the previous epoch was lost and the next entry sets lostAt
	lastVersion  uint64
	records      map[string]record
	expiries     []expiry // a heap; if an element is earlier than its record's expiresAt, the method expire adds a later element
	clients      map[uint64]*client
	bytes        int64
	maxFormat    uint32 // the latest record format that this gateway understands
	usedFormat   uint32 // the latest record format in the shard
}

// epochBits is the position of the epoch in a version. With the epoch in the high bits, versions keep growing when a shard is lost
// and reset.
const epochBits = 40

// newShard creates an empty shard.
func newShard(maxBytes int64, maxFormat, epoch uint32, resetPending bool) *shard {
	return &shard{
		maxBytes: maxBytes, maxFormat: maxFormat, resetPending: resetPending, lastVersion: uint64(epoch) << epochBits, records: map[string]record{},
		clients: map[uint64]*client{},
	}
}

func (s *shard) time() clock.Micros { return s.now }

// recordBytes returns the memory cost of a record, in bytes.
func recordBytes(key string, r record) int64 { return int64(len(key)+len(r.value)) + recordOverhead }

func (s *shard) apply(_ uint64, e *api.Entry) []*api.Reply {
	s.now = max(s.now, clock.Micros(e.Time))
	if s.resetPending {
		s.lostAt, s.resetPending = s.now, false
	}
	s.expire()
	var out []*api.Reply
	for _, c := range e.Commands {
		s.usedFormat = max(s.usedFormat, c.Format)
		out = append(out, s.applyCommand(c))
	}
	return out
}

// applyCommand applies a command, unless it was applied before.
func (s *shard) applyCommand(command *api.Command) *api.Reply {
	caller := s.clients[command.Client]
	if caller == nil {
		caller = &client{results: map[uint64]*api.Reply{}}
		s.clients[command.Client] = caller
	}
	caller.lastSeen = s.now
	if command.MinPending > caller.minPending {
		caller.minPending = command.MinPending
		for sequence := range caller.results {
			if sequence < command.MinPending {
				delete(caller.results, sequence)
			}
		}
	}
	if command.Sequence < caller.minPending {
		return &api.Reply{Status: uint32(StatusInvalid), Time: int64(s.now)} // a late duplicate: the client no longer waits for the result
	}
	if r, again := caller.results[command.Sequence]; again {
		return r
	}
	var r *api.Reply
	switch {
	case command.Put != nil:
		r = s.put(command.Put)
	case command.RaisePosition != nil:
		r = s.raisePosition(command.RaisePosition)
	default:
		r = &api.Reply{Status: uint32(StatusInvalid)}
	}
	r.Time = int64(s.now)
	caller.results[command.Sequence] = r
	return r
}

// put writes or deletes a record if the condition of the command holds.
func (s *shard) put(p *api.Put) *api.Reply {
	key := string(p.Key)
	old, exists := s.records[key]
	switch {
	case exists && old.isPosition:
		return &api.Reply{Status: uint32(StatusInvalid)}
	case p.Conditional && old.version != p.Version:
		return &api.Reply{Status: uint32(StatusConflict), Version: old.version}
	case p.Delete:
		s.remove(key)
		s.lastVersion++
		return &api.Reply{Version: s.lastVersion}
	}
	return s.set(key, record{value: bytes.Clone(p.Value), expiresAt: s.now + clock.Micros(p.Ttl)})
}

// raisePosition raises a position. The position never decreases, even if commands arrive out of order.
func (s *shard) raisePosition(m *api.RaisePosition) *api.Reply {
	key := string(m.Key)
	old, exists := s.records[key]
	if exists && !old.isPosition {
		return &api.Reply{Status: uint32(StatusInvalid)}
	}
	r := s.set(key, record{isPosition: true, position: max(old.position, m.Position), expiresAt: max(old.expiresAt, s.now+clock.Micros(m.Ttl))})
	r.Position = s.records[key].position
	return r
}

// set stores a record unless the shard is full.
func (s *shard) set(key string, r record) *api.Reply {
	old, exists := s.records[key]
	grown := s.bytes + recordBytes(key, r)
	if exists {
		grown -= recordBytes(key, old)
	}
	if grown > s.maxBytes && grown > s.bytes {
		return &api.Reply{Status: uint32(StatusFull), Version: old.version, Position: old.position}
	}
	s.lastVersion++
	r.version, r.changedAt = s.lastVersion, s.now
	s.bytes, s.records[key] = grown, r
	if !exists || r.expiresAt < old.expiresAt {
		s.pushExpiry(expiry{r.expiresAt, key}) // the method expire pushes a later expiry when the earlier expiry is reached
	}
	reply := &api.Reply{Version: r.version}
	if !exists {
		reply.LostBefore = s.lostBefore()
	}
	return reply
}

// lostBefore returns the time at which this shard was reset because its quorum was lost. It returns 0 if the shard was not reset, or
// was reset so long ago that all of the lost records would have expired.
func (s *shard) lostBefore() int64 {
	if s.resetPending || s.lostAt > 0 && s.now-s.lostAt < MaxTTL {
		return int64(max(s.lostAt, 1))
	}
	return 0
}

// remove deletes a record.
func (s *shard) remove(key string) {
	if r, exists := s.records[key]; exists {
		s.bytes -= recordBytes(key, r)
		delete(s.records, key)
	}
}

// expire deletes records and clients that have expired according to the time of the log.
func (s *shard) expire() {
	for len(s.expiries) > 0 && s.expiries[0].at <= s.now {
		e := s.popExpiry()
		if r, exists := s.records[e.key]; exists && r.expiresAt <= s.now {
			s.remove(e.key)
		} else if exists {
			s.pushExpiry(expiry{r.expiresAt, e.key})
		}
	}
	for number, c := range s.clients {
		if s.now-c.lastSeen > clientRetention {
			delete(s.clients, number)
		}
	}
}

// hasExpired reports whether a record has expired according to the leader's time, so that an entry is needed to delete it.
func (s *shard) hasExpired(now clock.Micros) bool {
	return len(s.expiries) > 0 && s.expiries[0].at <= now
}

// get reads a record.
func (s *shard) get(key []byte) *api.Reply {
	out := &api.Reply{Time: int64(s.now)}
	r, exists := s.records[string(key)]
	if exists {
		out.Found, out.Value, out.Version, out.Position, out.Age = true, r.value, r.version, r.position, int64(s.now-r.changedAt)
	}
	// A position that was found may have been higher before the loss, because the position may have been created again since.
	if !exists || r.isPosition {
		out.LostBefore = s.lostBefore()
	}
	return out
}

func (s *shard) snapshot() []byte {
	out := &api.Shard{Time: int64(s.now), LostAt: int64(s.lostAt), LastVersion: s.lastVersion, Format: s.usedFormat}
	if s.resetPending {
		out.LostAt = -1
	}
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[key]
		out.Records = append(out.Records, &api.Record{
			Key: []byte(key), Value: r.value, Version: r.version, Position: r.position, IsPosition: r.isPosition, ExpiresAt: int64(r.expiresAt), ChangedAt: int64(r.changedAt),
		})
	}
	for _, number := range slices.Sorted(maps.Keys(s.clients)) {
		c := s.clients[number]
		x := &api.Client{Id: number, LastSeen: int64(c.lastSeen), MinPending: c.minPending}
		for _, sequence := range slices.Sorted(maps.Keys(c.results)) {
			r := c.results[sequence]
			x.Results = append(x.Results, &api.Result{Sequence: sequence, Status: r.Status, Version: r.Version, Position: r.Position, LostBefore: r.LostBefore})
		}
		out.Clients = append(out.Clients, x)
	}
	b, _ := proto.Marshal(out) // cannot fail, because the message has no strings that could be invalid UTF-8
	return b
}

func (s *shard) restore(b []byte) error {
	var in api.Shard
	if err := proto.Unmarshal(b, &in); err != nil {
		return err
	}
	if in.Format > s.maxFormat {
		return errFormatTooNew
	}
	*s = *newShard(s.maxBytes, s.maxFormat, 0, in.LostAt < 0)
	s.usedFormat = in.Format
	s.now, s.lostAt, s.lastVersion = clock.Micros(in.Time), clock.Micros(max(in.LostAt, 0)), in.LastVersion
	for _, x := range in.Records {
		r := record{value: x.Value, version: x.Version, position: x.Position, isPosition: x.IsPosition, expiresAt: clock.Micros(x.ExpiresAt), changedAt: clock.Micros(x.ChangedAt)}
		s.records[string(x.Key)] = r
		s.bytes += recordBytes(string(x.Key), r)
		s.pushExpiry(expiry{r.expiresAt, string(x.Key)})
	}
	for _, x := range in.Clients {
		c := &client{lastSeen: clock.Micros(x.LastSeen), minPending: x.MinPending, results: map[uint64]*api.Reply{}}
		for _, r := range x.Results {
			c.results[r.Sequence] = &api.Reply{Status: r.Status, Version: r.Version, Position: r.Position, LostBefore: r.LostBefore, Time: in.Time}
		}
		s.clients[x.Id] = c
	}
	return nil
}
