package testcluster

import (
	"fmt"
	"strings"
)

// InDoubt configures how gateways store the intents of bookings before they send the bookings.
type InDoubt struct {
	StoreFirst bool // gateways store an answer before they send it to the client
	SeatLookup bool // gateways find out by a read of class ClassSeat whether a booking ran
}

// section returns the in-doubt section of a gateway's operators' file.
func (d *InDoubt) section() string {
	var b strings.Builder
	fmt.Fprintf(&b, "in-doubt %s\n retention 5m\n", ClassBooking)
	if d.StoreFirst {
		b.WriteString(" order safe\n")
	}
	if d.SeatLookup {
		fmt.Fprintf(&b, " lookup %s \"%s\"\n", ClassSeat, Present)
	}
	return b.String()
}

// Intents is a gateway's answer to "intents --json", which lists its open intents.
type Intents struct {
	Open []struct {
		Booking, ID, Phase string
	}
	Counts map[string]int64
}

// Intents queries a gateway for its open intents.
func (n *Node) Intents() (v Intents, err error) {
	err = n.query(&v, "intents", "--json")
	return v, err
}
