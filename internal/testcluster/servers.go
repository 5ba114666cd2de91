package testcluster

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"marblespan/internal/fake"
)

// FirstGroup is the number of a cluster's first group of servers. Further groups have the next numbers.
const FirstGroup = 7

// groupNames holds, for each group, the name of its initial primary and the prefix of its replicas' names. A replica's number
// follows the prefix.
var groupNames = [...][2]string{{"p", "r"}, {"q", "s"}}

// MaxGroups is the maximum number of groups of servers in a cluster.
const MaxGroups = len(groupNames)

// groupOf returns the group that a key belongs to. The group depends on the client that booked the key, so that all keys of a client
// are in one group and the clients are spread over the groups.
func (c *Cluster) groupOf(key string) int {
	client, _, _ := strings.Cut(key, "-")
	return FirstGroup + int(client[len(client)-1])%len(c.groups)
}

// The classes that clients use.
const (
	ClassBooking = "booking" // a write that must not run twice
	ClassView    = "view"    // a read that may be behind by ViewBound
	ClassSeat    = "seat"    // a read that must be current
	ClassMine    = "mine"    // a read that must see the bookings of its session
	ClassQuote   = "quote"   // a read that must be current and must not run twice
)

// ViewBound is the maximum age of the data that a read of class ClassView may return.
const ViewBound = 800 * time.Millisecond

// Present and Absent show whether the server had the key. A value that a server returns is the id of the request, followed by
// Present or Absent.
const (
	Present = " there"
	Absent  = " absent"
)

// serverGroup is a primary and its replicas, which share a log of commits. A position in the log is a Unix time in milliseconds: a
// server at position x has applied all commits up to that time.
type serverGroup struct {
	number      int
	events      *History
	gatewayAt   func(ip string) int // returns the number of the gateway with an IP address
	serviceTime time.Duration

	mu      sync.Mutex
	commits map[string]int64 // the position of each key's commit
	servers []*server
}

// server is one database server.
type server struct {
	*fake.Server
	group           *serverGroup
	name            string
	primary         bool
	lag             time.Duration
	appliedPosition int64 // never decreases
	state           string
}

// newServerGroup starts a primary and its replicas (in the first group "p", "r1", "r2" and so on), each at its own address.
func newServerGroup(h *History, group, replicas int, work time.Duration, node func(string) int) (*serverGroup, error) {
	c := &serverGroup{number: group, events: h, gatewayAt: node, serviceTime: work, commits: map[string]int64{}}
	for i := range replicas + 1 {
		names := groupNames[group-FirstGroup]
		s := &server{group: c, name: names[0], primary: i == 0, state: stateReady}
		if i > 0 {
			s.name = fmt.Sprint(names[1], i)
		}
		var err error
		if s.Server, err = fake.NewServer(s.role()); err != nil {
			c.close()
			return nil, err
		}
		c.servers = append(c.servers, s)
		s.SetHealthCheckHandler(func(*fake.Query) bool {
			s.Position.Store(c.position(s))
			return false
		})
		s.SetQueryHandler(func(q *fake.Query) { c.execute(s, q) })
	}
	return c, nil
}

// The states of servers on the endpoint list.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// The roles of servers, in their reports and in RequestExecuted events.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

func (s *server) role() string {
	if s.primary {
		return rolePrimary
	}
	return roleReplica
}

// promote makes a replica the primary, which then has all commits applied, and makes the former primary a replica. It returns the
// former primary, or nil if the group had no primary.
func (c *serverGroup) promote(next *server) (last *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.primary {
			last = s
		}
	}
	if last != nil {
		last.primary = false
		last.Role.Store(last.role())
	}
	next.primary, next.lag = true, 0
	next.Role.Store(next.role())
	return last
}

// demote makes the primary a replica, as before an orderly stop of a primary. The server finishes the requests that it has and answers
// them as a replica. The group has no primary until the next promotion.
func (c *serverGroup) demote() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.primary = false
		s.Role.Store(s.role())
	}
}

// servers returns the servers of all groups.
func (c *Cluster) servers() (all []*server) {
	for _, group := range c.groups {
		all = append(all, group.servers...)
	}
	return all
}

// server returns the server with a name, or nil if there is none.
func (c *Cluster) server(name string) *server {
	for _, s := range c.servers() {
		if s.name == name {
			return s
		}
	}
	return nil
}

// position returns the position up to which a server has applied the log.
func (c *serverGroup) position(s *server) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.positionLocked(s)
}

// positionLocked does the same as position, but the caller must hold mu.
func (c *serverGroup) positionLocked(s *server) int64 {
	s.appliedPosition = max(s.appliedPosition, time.Now().Add(-s.lag).UnixMilli())
	return s.appliedPosition
}

// statementKey matches the key in a statement.
var statementKey = regexp.MustCompile(`(?:name = |VALUES \()'([^']*)'`)

// execute runs one request at a server and records it.
func (c *serverGroup) execute(server *server, query *fake.Query) {
	key := ""
	if m := statementKey.FindStringSubmatch(query.SQL); m != nil {
		key = m[1]
	}
	write := strings.Contains(query.SQL, "INSERT ")
	c.mu.Lock()
	position, role := c.positionLocked(server), server.role()
	if write && role != rolePrimary {
		c.mu.Unlock()
		server.Position.Store(position)
		query.ReplyError("25006")
		return
	}
	commit, there := c.commits[key]
	there = there && commit <= position
	if write {
		there = true
		c.commits[key] = position
	}
	c.mu.Unlock()
	// A primary's data is always current. The data's age is not computed from the position, because the position has only
	// millisecond resolution.
	age := int64(0)
	if role != rolePrimary {
		age = time.Since(time.UnixMilli(position)).Microseconds()
	}
	c.events.Add(Event{
		Kind: RequestExecuted, Node: c.gatewayAt(query.ClientIP()), ID: query.ID(), Class: query.Field("c"), Key: key, Server: server.name, What: role, DataAge: age,
	})
	time.Sleep(c.serviceTime)
	value := query.ID() + Absent
	if there {
		value = query.ID() + Present
	}
	server.Position.Store(position)
	query.ReplyRow([]byte(value))
}

// setLag sets the lag of a replica. If the lag grows, the replica's position stops until the replica lags by the given duration.
// Then the position follows the log at that distance. setLag does not change the lag of a primary.
func (c *serverGroup) setLag(s *server, lag time.Duration) {
	c.mu.Lock()
	c.positionLocked(s)
	if !s.primary {
		s.lag = lag
	}
	c.mu.Unlock()
}

// setState sets the state of a server on the endpoint list, and reports whether the state has changed.
func (c *serverGroup) setState(s *server, state string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := s.state != state
	s.state = state
	return changed
}

// target returns a server's entry on a gateway's endpoint list. endpoint is the address of that gateway's relay to the server.
func (s *server) target(endpoint string) fake.Endpoint {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return fake.Endpoint{UID: s.name, Addr: endpoint, Zone: "here", Group: s.group.number, State: s.state, Weight: 1, Role: s.role()}
}

func (c *serverGroup) close() {
	for _, s := range c.servers {
		s.Close()
	}
}

// requestID matches the id in a statement's comment.
var requestID = regexp.MustCompile(`/\* id=([^, ]+)`)
