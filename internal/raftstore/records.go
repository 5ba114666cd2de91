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

// clientSpan is for how long a client's last results are kept after its last command.
const clientSpan clock.Micros = 600 * 1_000_000

// machine is what a group's replicas keep, changed by the entries of its log only.
type machine interface {
	// apply carries an entry out. It returns a result for each of its commands.
	apply(index uint64, e *api.Entry) []*api.Reply
	snapshot() []byte
	restore(b []byte) error
	// time is that of the last entry.
	time() clock.Micros
}

// errFormat tells of records that only a later version understands.
var errFormat = errors.New("these records are of a later version")

// record is one record of a shard.
type record struct {
	value    []byte
	version  uint64 // of the shard, the last write's; no two writes have the same
	position uint64
	mark     bool
	end      clock.Micros
	at       clock.Micros // when it was last changed
}

// client is what is kept of one caller, so that a call that comes again has one effect.
type client struct {
	heard   clock.Micros
	results map[uint64]*api.Reply // by sequence, for as long as it may ask again
	done    uint64                // nothing of an earlier sequence is carried out any more: it is a copy that came late
}

// shard is the machine of one shard.
type shard struct {
	most    int64 // bytes
	now     clock.Micros
	lost    clock.Micros // when this epoch began, because the one before was lost; 0: none was
	anew    bool         // the next entry's time is when it began
	writes  uint64
	records map[string]record
	ends    []ending // a heap; some are out of date
	clients map[uint64]*client
	bytes   int64
	knows   uint32 // the latest format of records that is understood here
	format  uint32 // the latest that was used
}

// ending is when a record may end.
type ending struct {
	at  clock.Micros
	key string
}

// epochBits is where the epoch stands in a version, so that versions grow over the loss of a shard, too.
const epochBits = 40

func newShard(most int64, knows, epoch uint32, anew bool) *shard {
	return &shard{most: most, knows: knows, anew: anew, writes: uint64(epoch) << epochBits, records: map[string]record{}, clients: map[uint64]*client{}}
}

func (s *shard) time() clock.Micros { return s.now }

func cost(key string, r record) int64 { return int64(len(key)+len(r.value)) + recordCost }

func (s *shard) apply(_ uint64, e *api.Entry) []*api.Reply {
	s.now = max(s.now, clock.Micros(e.Time))
	if s.anew {
		s.lost, s.anew = s.now, false
	}
	s.expire()
	var out []*api.Reply
	for _, c := range e.Commands {
		s.format = max(s.format, c.Format)
		out = append(out, s.command(c))
	}
	return out
}

// command carries one out, unless it has been.
func (s *shard) command(c *api.Command) *api.Reply {
	from := s.clients[c.Client]
	if from == nil {
		from = &client{results: map[uint64]*api.Reply{}}
		s.clients[c.Client] = from
	}
	from.heard = s.now
	if c.MinPending > from.done {
		from.done = c.MinPending
		for sequence := range from.results {
			if sequence < c.MinPending {
				delete(from.results, sequence)
			}
		}
	}
	if c.Sequence < from.done {
		return &api.Reply{Status: uint32(StatusInvalid), Time: int64(s.now)} // nobody waits for it
	}
	if r, again := from.results[c.Sequence]; again {
		return r
	}
	var r *api.Reply
	switch {
	case c.Put != nil:
		r = s.put(c.Put)
	case c.RaisePosition != nil:
		r = s.mark(c.RaisePosition)
	default:
		r = &api.Reply{Status: uint32(StatusInvalid)}
	}
	r.Time = int64(s.now)
	from.results[c.Sequence] = r
	return r
}

func (s *shard) put(p *api.Put) *api.Reply {
	key := string(p.Key)
	old, there := s.records[key]
	switch {
	case there && old.mark:
		return &api.Reply{Status: uint32(StatusInvalid)}
	case p.Conditional && old.version != p.Version:
		return &api.Reply{Status: uint32(StatusConflict), Version: old.version}
	case p.Delete:
		s.remove(key)
		s.writes++
		return &api.Reply{Version: s.writes}
	}
	return s.set(key, record{value: bytes.Clone(p.Value), end: s.now + clock.Micros(p.Ttl)})
}

// mark raises a number; it never falls, whatever order marks come in.
func (s *shard) mark(m *api.RaisePosition) *api.Reply {
	key := string(m.Key)
	old, there := s.records[key]
	if there && !old.mark {
		return &api.Reply{Status: uint32(StatusInvalid)}
	}
	r := s.set(key, record{mark: true, position: max(old.position, m.Position), end: max(old.end, s.now+clock.Micros(m.Ttl))})
	r.Position = s.records[key].position
	return r
}

func (s *shard) set(key string, r record) *api.Reply {
	old, there := s.records[key]
	grown := s.bytes + cost(key, r)
	if there {
		grown -= cost(key, old)
	}
	if grown > s.most && grown > s.bytes {
		return &api.Reply{Status: uint32(StatusFull), Version: old.version, Position: old.position}
	}
	s.writes++
	r.version, r.at = s.writes, s.now
	s.bytes, s.records[key] = grown, r
	if !there || r.end < old.end {
		s.push(ending{r.end, key}) // a later end is found when the earlier one has come
	}
	reply := &api.Reply{Version: r.version}
	if !there {
		reply.LostBefore = s.lostSince()
	}
	return reply
}

// lostSince is when this shard was begun anew because what it held was lost; 0: it was not, or so long ago that nothing of it
// would be there any more.
func (s *shard) lostSince() int64 {
	if s.anew || s.lost > 0 && s.now-s.lost < MaxTTL {
		return int64(max(s.lost, 1))
	}
	return 0
}

func (s *shard) remove(key string) {
	if r, there := s.records[key]; there {
		s.bytes -= cost(key, r)
		delete(s.records, key)
	}
}

// expire takes away what has ended, by the time of the log.
func (s *shard) expire() {
	for len(s.ends) > 0 && s.ends[0].at <= s.now {
		e := s.pop()
		if r, there := s.records[e.key]; there && r.end <= s.now {
			s.remove(e.key)
		} else if there {
			s.push(ending{r.end, e.key})
		}
	}
	for number, c := range s.clients {
		if s.now-c.heard > clientSpan {
			delete(s.clients, number)
		}
	}
}

// due tells whether a record has ended by a leader's clock: an entry is wanted that says so.
func (s *shard) due(now clock.Micros) bool { return len(s.ends) > 0 && s.ends[0].at <= now }

func (s *shard) push(e ending) {
	s.ends = append(s.ends, e)
	for i := len(s.ends) - 1; i > 0; {
		up := (i - 1) / 2
		if s.ends[up].at <= s.ends[i].at {
			break
		}
		s.ends[up], s.ends[i] = s.ends[i], s.ends[up]
		i = up
	}
}

func (s *shard) pop() ending {
	first, n := s.ends[0], len(s.ends)-1
	s.ends[0] = s.ends[n]
	s.ends[n] = ending{}
	s.ends = s.ends[:n]
	for i := 0; ; {
		low := 2*i + 1
		if low+1 < n && s.ends[low+1].at < s.ends[low].at {
			low++
		}
		if low >= n || s.ends[i].at <= s.ends[low].at {
			return first
		}
		s.ends[low], s.ends[i] = s.ends[i], s.ends[low]
		i = low
	}
}

// get reads a record.
func (s *shard) get(key []byte) *api.Reply {
	out := &api.Reply{Time: int64(s.now)}
	r, there := s.records[string(key)]
	if there {
		out.Found, out.Value, out.Version, out.Position, out.Age = true, r.value, r.version, r.position, int64(s.now-r.at)
	}
	// Of a number that was raised since, nobody knows whether it had been higher.
	if !there || r.mark {
		out.LostBefore = s.lostSince()
	}
	return out
}

func (s *shard) snapshot() []byte {
	out := &api.Shard{Time: int64(s.now), LostAt: int64(s.lost), LastVersion: s.writes, Format: s.format}
	if s.anew {
		out.LostAt = -1
	}
	for _, key := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[key]
		out.Records = append(out.Records, &api.Record{
			Key: []byte(key), Value: r.value, Version: r.version, Position: r.position, IsPosition: r.mark, ExpiresAt: int64(r.end), ChangedAt: int64(r.at),
		})
	}
	for _, number := range slices.Sorted(maps.Keys(s.clients)) {
		c := s.clients[number]
		x := &api.Client{Id: number, LastSeen: int64(c.heard), MinPending: c.done}
		for _, sequence := range slices.Sorted(maps.Keys(c.results)) {
			r := c.results[sequence]
			x.Results = append(x.Results, &api.Result{Sequence: sequence, Status: r.Status, Version: r.Version, Position: r.Position, LostBefore: r.LostBefore})
		}
		out.Clients = append(out.Clients, x)
	}
	b, _ := proto.Marshal(out) // it has no text that could be at fault
	return b
}

func (s *shard) restore(b []byte) error {
	var in api.Shard
	if err := proto.Unmarshal(b, &in); err != nil {
		return err
	}
	if in.Format > s.knows {
		return errFormat
	}
	*s = *newShard(s.most, s.knows, 0, in.LostAt < 0)
	s.format = in.Format
	s.now, s.lost, s.writes = clock.Micros(in.Time), clock.Micros(max(in.LostAt, 0)), in.LastVersion
	for _, x := range in.Records {
		r := record{value: x.Value, version: x.Version, position: x.Position, mark: x.IsPosition, end: clock.Micros(x.ExpiresAt), at: clock.Micros(x.ChangedAt)}
		s.records[string(x.Key)] = r
		s.bytes += cost(string(x.Key), r)
		s.push(ending{r.end, string(x.Key)})
	}
	for _, x := range in.Clients {
		c := &client{heard: clock.Micros(x.LastSeen), done: x.MinPending, results: map[uint64]*api.Reply{}}
		for _, r := range x.Results {
			c.results[r.Sequence] = &api.Reply{Status: r.Status, Version: r.Version, Position: r.Position, LostBefore: r.LostBefore, Time: in.Time}
		}
		s.clients[x.Id] = c
	}
	return nil
}
