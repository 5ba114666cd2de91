package gateway

// StateStoreStatus is the state of the state store as one gateway knows it, for operators.
type StateStoreStatus struct {
	Node        string        `json:"node"`
	BootstrapID string        `json:"founding"` // empty: there is no store
	Index       uint64        `json:"ledger_index"`
	Voters      int           `json:"copies"`
	Format      uint32        `json:"format"` // the latest format of records that may be used
	StoreID     string        `json:"disk"`   // ID of this gateway's store; empty: this gateway holds no records
	Failed      string        `json:"failed,omitempty"`
	Waiting     int           `json:"waiting"`
	Stores      []StoreStatus `json:"disks"`
	Groups      []GroupStatus `json:"groups"`
}

// StoreStatus is a gateway's disk as recorded in the ledger.
type StoreStatus struct {
	Number  string `json:"number"`
	Node    string `json:"node"`
	Zone    string `json:"zone,omitempty"`
	Weight  uint32 `json:"weight"`
	Removed bool   `json:"gone,omitempty"`
}

// GroupStatus is the state of one Raft group: a shard or the ledger.
type GroupStatus struct {
	Group    uint32              `json:"group"` // 0: the ledger
	Epoch    uint32              `json:"epoch"`
	Lost     bool                `json:"lost,omitempty"`
	Replicas []ReplicaStatus     `json:"replicas"`
	Adding   *ReplicaStatus      `json:"adding,omitempty"`
	Removing uint64              `json:"leaving,omitempty"`
	Here     *LocalReplicaStatus `json:"here,omitempty"`
}

// ReplicaStatus identifies one member of a Raft group.
type ReplicaStatus struct {
	Number uint64 `json:"number"`
	Node   string `json:"node"`
	Lost   bool   `json:"lost,omitempty"`
}

// LocalReplicaStatus is the state of the member that runs on the answering gateway.
type LocalReplicaStatus struct {
	Number  uint64 `json:"number"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Applied uint64 `json:"applied"`
	Last    uint64 `json:"last"`
	Records int    `json:"records"`
	Bytes   int64  `json:"bytes"`
	Unsure  bool   `json:"unsure,omitempty"`
}
