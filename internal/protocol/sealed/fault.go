package sealed

// Fault is the reason for which a datagram is dropped. All protocols between gateways share this list: the functions that parse a
// datagram return a fault, and their caller counts and logs the datagram under the fault's name.
type Fault uint8

// The faults, in the order in which counters list them. This package detects BadVersion, UnknownKey and BadMAC. The codecs of
// the protocols detect the others up to BadValue. The receivers detect those after BadValue, because only they know the peers
// and the settings.
const (
	NoFault      Fault = iota
	BadLength          // too short, too long, or a length that contradicts its counts
	BadVersion         // a different version of the protocol or of the trailer
	BadType            // VRRP: not an advertisement
	BadCount           // VRRP: no address, or too many addresses
	BadReserved        // VRRP: reserved bits are set
	BadInterval        // VRRP: an interval of 0
	BadChecksum        // VRRP: the checksum does not match
	UnknownKey         // signed with a key that is not valid here
	BadMAC             // signed with another secret or for another purpose, or changed in transit
	BadMessage         // members: not a valid encoding of the message in api/members.proto
	BadKind            // members: an unknown kind of message, from a later version
	BadValue           // members: a missing or invalid field, such as a name, an address or a state
	WrongSource        // from an address that belongs to no peer, or to a peer other than the sender
	WrongPeer          // the node number of the sender or of the receiver does not match
	Replayed           // the same message was received before, or this one is too far behind a later message
	UnknownVRID        // for a group that is not configured here
	OtherAddress       // its address list differs from that of the group
	FaultCount
)

var faultNames = [FaultCount]string{
	"sound", "length", "version", "type", "count", "reserved", "interval", "checksum", "unknown_key", "mac",
	"message", "kind", "value", "source", "peer", "replayed", "vrid", "address",
}

// Name returns the fault's name in counters and logs.
func (f Fault) Name() string { return faultNames[f] }

// Error returns a text with the fault's name, so that a Fault can be used as an error.
func (f Fault) Error() string { return "message dropped: " + f.Name() }
