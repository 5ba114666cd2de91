package gateway

import (
	"runtime/metrics"

	"marblespan/internal/config"
	"marblespan/internal/transport"
)

// memoryPlan divides the memory limit of the process: among the resident code, the Go heap of an idle gateway, the state store, the
// connections, and the messages in flight.
type memoryPlan struct {
	heapLimit   int64 // bytes that the Go runtime tries to stay under
	messages    int64 // bytes that messages in flight may occupy
	descriptors int   // descriptors that may be in use
}

// The shares of a memory plan, in percent.
const (
	maxHeapPercent       = 75 // of the memory limit; the rest is left for code, and for the kernel's accounting
	heapPercent          = 90 // of the memory limit without the code, where that is less
	usedHeapPercent      = 85 // of the heap limit; a heap that is fuller keeps the garbage collector running all the time
	maxMessagePercent    = 50 // of the memory limit
	maxStorePercent      = 50 // of the heap that the state store, connections and messages share
	maxConnectionPercent = 50 // of the heap that connections and messages share
)

// The memory that a gateway takes whatever its clients do, in bytes.
const (
	residentCode = 9 << 20 // the program's code and constants, and the C library
	idleHeap     = 6 << 20 // the Go heap of an idle gateway, and the runtime's own tables

	stateStoreCode = 4 << 20 // the code that only a gateway with a state store runs
	stateStoreHeap = 4 << 20 // the tables of that code, and the queues of an idle state store
)

// storeRecordsPercent is the memory that the records of a store take, in percent of their size: while a shard is written to a snapshot,
// a copy of its records exists beside them.
const storeRecordsPercent = 150

// runtimeMemory returns the memory that the Go runtime holds, in bytes: what counts against the heap limit.
func runtimeMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// planMemory returns the memory plan for the limits of a configuration. All descriptors count as connections, because the messages
// may occupy their share before the connections come. A gateway with little memory uses fewer descriptors than it may. The lower bound
// of the configuration ensures that all parts are positive.
//
// The state store may fill its share before the messages come, too. If the operators' file grants it more than maxStorePercent, the
// plan does not hold once the store is that full.
func planMemory(cfg *config.Config, operators *config.Operators) memoryPlan {
	limit, code, idle := int64(cfg.MemoryMB)<<20, int64(residentCode), int64(idleHeap)
	if operators.StateStore != nil {
		code, idle = code+stateStoreCode, idle+stateStoreHeap
	}
	heap := min(limit*maxHeapPercent/100, (limit-code)*heapPercent/100)
	shared := heap*usedHeapPercent/100 - idle
	shared -= min(storeMemory(operators), shared*maxStorePercent/100)
	descriptors := min(int64(cfg.Sockets), shared*maxConnectionPercent/100/transport.ConnectionMemory)
	messages := min(shared-descriptors*transport.ConnectionMemory, limit*maxMessagePercent/100)
	return memoryPlan{heapLimit: heap, messages: messages, descriptors: int(descriptors)}
}

// storeMemory returns the memory that the records of this gateway's shards may take, in bytes.
func storeMemory(operators *config.Operators) int64 {
	store := operators.StateStore
	if store == nil || !store.RunsRaftNode(operators.Members.Node) {
		return 0
	}
	return int64(store.Memory) * int64(store.Shards) * storeRecordsPercent / 100
}
