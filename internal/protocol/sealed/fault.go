package sealed

// Fault is why a datagram is dropped. All protocols between gateways share this list: the functions that parse a datagram
// return a fault, and whoever receives it counts and logs it by its name.
type Fault uint8

// The faults, in the order in which counters list them. This package finds BadVersion, UnknownKey and BadMAC; the codecs of
// the protocols find the rest up to BadValue, and the receivers, which know the peers and the settings, those after it.
const (
	NoFault      Fault = iota
	BadLength          // too short, too long, or not as long as its counts say
	BadVersion         // another version of the protocol or of the trailer
	BadType            // VRRP: no advertisement
	BadCount           // VRRP: no address, or too many
	BadReserved        // VRRP: reserved bits are set
	BadInterval        // VRRP: an interval of 0
	BadChecksum        // VRRP: damaged
	UnknownKey         // signed with a key that is not valid here
	BadMAC             // signed with another secret or for another purpose, or changed on the way
	BadMessage         // members: not a message as api/members.proto has it
	BadKind            // members: a kind that is not known here, of a later version
	BadValue           // members: a name, an address or a state that cannot be
	WrongSource        // from an address that is no peer's, or another peer's
	WrongPeer          // from or for another node number
	Replayed           // it, or a later one, came before
	UnknownVRID        // of a group that is not configured here
	OtherAddress       // of another address list than this group's
	FaultCount
)

var faultNames = [FaultCount]string{
	"sound", "length", "version", "type", "count", "reserved", "interval", "checksum", "unknown_key", "mac",
	"message", "kind", "value", "source", "peer", "replayed", "vrid", "address",
}

// Name is the fault's name in counters and logs.
func (f Fault) Name() string { return faultNames[f] }

// Error makes a fault an error.
func (f Fault) Error() string { return "message dropped: " + f.Name() }
