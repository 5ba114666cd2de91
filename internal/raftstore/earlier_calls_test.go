package raftstore

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	api "marblespan/api/raftstorepb"
	"marblespan/internal/maintenance"
)

// replyFilter keeps every packet with replies to one gateway, to its calls or to its recovery queries, from being delivered.
type replyFilter struct {
	to     string
	active bool
	held   []PacketReceived
}

// after is a hook of a mutant, although the filter introduces no defect.
func (f *replyFilter) after(_ *simulation, n *simGateway, out []Action) []Action {
	if !f.active {
		return out
	}
	kept := out[:0:0]
	for _, action := range out {
		var packet api.Packet
		if send, ok := action.(Send); ok && send.To == f.to && proto.Unmarshal(send.Body, &packet) == nil && len(packet.Replies)+len(packet.RecoveryReplies) > 0 {
			f.held = append(f.held, PacketReceived{n.name, send.Body})
			continue
		}
		kept = append(kept, action)
	}
	return kept
}

// A leader may reply to a call after the gateway that sent it was killed and has started again. Guards against taking the reply for
// that to a call of the new start: a claim of a booking counted as stored although another gateway's intent was there, and the
// booking ran twice. All kinds of calls are affected, so each is made when the replies to each arrive.
func TestRepliesToCallsOfAnEarlierStart(t *testing.T) {
	put := func(key string) Request {
		return Request{Shard: 1, Command: &api.Command{Put: &api.Put{Key: []byte(key), Value: []byte("v"), Conditional: true, Ttl: int64(60 * second)}}}
	}
	raise := func(key string) Request {
		return Request{Shard: 1, Command: &api.Command{RaisePosition: &api.RaisePosition{Key: []byte(key), Position: 5, Ttl: int64(60 * second)}}}
	}
	get := func(key string) Request { return Request{Shard: 1, Get: &api.Get{Key: []byte(key)}} }
	order := func(string) Request {
		return Request{Shard: LedgerGroup, Command: MaintenanceCommand(maintenance.Command{Verb: maintenance.Pause})}
	}
	listing := func(string) Request { return Request{Shard: LedgerGroup, Get: &api.Get{Key: []byte(MaintenanceKey)}} }
	kinds := []func(string) Request{put, raise, get, order, listing}
	filter := &replyFilter{}
	sim := newSimulation(1, 3, 1, 2, &mutant{after: filter.after})
	awaitComplete(sim)
	caller := sim.gateways[3]
	filter.to, filter.active = caller.name, true
	responses, claim := 0, Response{}
	callAll := func(prefix string, kindOf func(i, j int) int, to *Response) {
		for i := range kinds {
			for j := range kinds {
				request := kinds[kindOf(i, j)](fmt.Sprint(prefix, i, j))
				request.Deadline = 20 * second
				sim.call(caller, request, func(Response) { responses++ })
			}
		}
		request := put("taken")
		request.Deadline = 20 * second
		sim.call(caller, request, func(r Response) { responses++; *to = r })
	}
	// The two starts make their calls in such orders that each kind of the first meets each kind of the second at the same place.
	callAll("first", func(i, _ int) int { return i }, new(Response))
	sim.advance(2 * second)
	if len(filter.held) == 0 {
		t.Fatal("no replies were held")
	}
	restart(sim, caller, 10*ms)
	repliesToEarlier := filter.held
	callAll("second", func(_, j int) int { return j }, &claim)
	for range 20 {
		for _, packet := range repliesToEarlier {
			sim.handle(caller, packet)
		}
		sim.advance(testTick)
	}
	if responses > 0 {
		t.Errorf("%d calls were answered with replies to calls of the earlier start", responses)
	}
	filter.active = false
	sim.advanceUntil("all calls are answered", 20*second, func() bool { return len(caller.host.calls.pending) == 0 })
	if claim.Status != StatusConflict || sim.failure != "" {
		t.Errorf("the claim of a key that the earlier start has claimed ended with %v, want a conflict; %s", claim.Status, sim.failure)
	}
}
