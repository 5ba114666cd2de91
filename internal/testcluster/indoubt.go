package testcluster

import (
	"fmt"
	"strings"
)

// InDoubt says how intents of bookings are stored before they are sent.
type InDoubt struct {
	StoreFirst bool // answers wait until they are stored
	SeatLookup bool // a read of a seat shows whether a booking ran
}

// section is the section of a gateway's operators' file.
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

// Intents is what a gateway answers about open intents ("intents --json").
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
