package sealed

// Fault is the reason for which a datagram is dropped. All protocols between gateways share this list: the functions that parse a
// datagram return a fault, and their caller counts and logs the datagram under the fault's name.
type Fault uint8

// The faults, in the order in which counters list them. This package detects BadVersion, UnknownKey and BadMAC. The codecs of the
// protocols detect the other faults up to BadValue. The receivers detect the faults after BadValue, because only they know the
// peers and the settings.
const (
	NoFault      Fault = iota
	BadLength          // the datagram is too short or too long, or its length contradicts its counts
	BadVersion         // the datagram has a different version of the protocol or of the trailer
	BadType            // VRRP: the message is not an advertisement
	BadCount           // VRRP: the message has no address, or too many addresses
	BadReserved        // VRRP: reserved bits are set
	BadInterval        // VRRP: the message has an interval of 0
	BadChecksum        // VRRP: the checksum does not match
	UnknownKey         // the message is signed with a key that is not valid here
	BadMAC             // the message was signed with another secret or for another purpose, or was changed in transit
	BadMessage         // members: the datagram is not a valid encoding of the message in api/members.proto
	BadKind            // members: the kind of the message is unknown, as from a later version
	BadValue           // members: a field, such as a name, an address or a state, is missing or invalid
	WrongSource        // the datagram comes from an address that belongs to no peer, or to a peer other than the sender
	WrongPeer          // the node number of the sender or of the receiver does not match
	Replayed           // the message was received before, or is too far behind a later message that was received
	UnknownVRID        // the message is for a group that is not configured here
	OtherAddress       // the message's address list differs from the group's address list
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
