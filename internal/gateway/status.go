package gateway

// CopiesStatus is how a gateway stands, for whoever asks.
type CopiesStatus struct {
	Node     string        `json:"node"`
	Founding string        `json:"founding"` // empty: there is no store
	Index    uint64        `json:"ledger_index"`
	Copies   int           `json:"copies"`
	Format   uint32        `json:"format"` // of records, the latest that may be used
	Disk     string        `json:"disk"`   // this gateway's; empty: it holds nothing
	Failed   string        `json:"failed,omitempty"`
	Waiting  int           `json:"waiting"`
	Disks    []CopiesDisk  `json:"disks"`
	Groups   []CopiesGroup `json:"groups"`
}

// CopiesDisk is one disk that the ledger knows.
type CopiesDisk struct {
	Number string `json:"number"`
	Node   string `json:"node"`
	Zone   string `json:"zone,omitempty"`
	Weight uint32 `json:"weight"`
	Gone   bool   `json:"gone,omitempty"`
}

// CopiesGroup is one shard, or the ledger.
type CopiesGroup struct {
	Group    uint32          `json:"group"` // 0: the ledger
	Epoch    uint32          `json:"epoch"`
	Lost     bool            `json:"lost,omitempty"`
	Replicas []CopiesReplica `json:"replicas"`
	Adding   *CopiesReplica  `json:"adding,omitempty"`
	Leaving  uint64          `json:"leaving,omitempty"`
	Here     *CopiesHere     `json:"here,omitempty"`
}

// CopiesReplica is one replica of a group.
type CopiesReplica struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Lost   bool   `json:"lost,omitempty"`
}

// CopiesHere is the asked gateway's own replica.
type CopiesHere struct {
	Number  uint64 `json:"number"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
	Last    uint64 `json:"last"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
	Unsure  bool   `json:"unsure,omitempty"`
}
