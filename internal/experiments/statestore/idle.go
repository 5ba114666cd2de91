package statestore

import "time"

// Idle holds the traffic of a store without writes.
type Idle struct {
	Gateways       int
	BytesPerSecond int64 // bytes that each gateway sends per second
}

// settleTime is the pause until the members of all groups have been placed. idleTime is how long the traffic is measured after that.
const (
	settleTime = 10 * time.Second
	idleTime   = 5 * time.Second
)

// measureIdle measures how many bytes gateways send without writes.
func measureIdle(gateways int) (Idle, error) {
	c, err := newCluster(clusterOptions{nodes: gateways, voters: 3, shards: 16, repairAfter: neverRepair})
	if err != nil {
		return Idle{}, err
	}
	defer c.close()
	time.Sleep(settleTime)
	before := c.sentBytes()
	time.Sleep(idleTime)
	return Idle{gateways, (c.sentBytes() - before) / int64(idleTime/time.Second) / int64(gateways)}, nil
}
