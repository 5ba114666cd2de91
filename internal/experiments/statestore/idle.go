package statestore

import "time"

// Idle is the traffic of a store without writes.
type Idle struct {
	Gateways       int
	BytesPerSecond int64 // that a gateway sends
}

// How long a store is left alone until its members are placed, and how long its traffic is then counted.
const (
	settleTime = 10 * time.Second
	idleTime   = 5 * time.Second
)

// measureIdle measures what gateways send without writes.
func measureIdle(gateways int) (Idle, error) {
	c, err := newCluster(shape{nodes: gateways, voters: 3, shards: 16, repairAfter: neverRepair})
	if err != nil {
		return Idle{}, err
	}
	defer c.close()
	time.Sleep(settleTime)
	before := c.sentBytes()
	time.Sleep(idleTime)
	return Idle{gateways, (c.sentBytes() - before) / int64(idleTime/time.Second) / int64(gateways)}, nil
}
