package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// State is a server's state in the list.
type State uint8

// The states.
const (
	Removed State = iota
	Ready
	Draining
)

// Entry is one server in the list.
type Entry struct {
	UID      string
	Endpoint string
	Zone     string
	Group    int
	State    State
	Weight   json.Number
	BootMS   json.Number // Unix milliseconds of its last start; 0 if it started long ago
	Primary  bool        // the list says that it is the primary
}

// List is one message of discovery: the complete list, or the entries that changed. Rev is its revision.
type List struct {
	Rev     int64
	Full    bool
	Entries []Entry
}

// wireList is the JSON form of a List, by the names of the platform's pages.
type wireList struct {
	Rev     *int64 `json:"rev"`
	All     bool   `json:"all"`
	Targets []struct {
		UID      string      `json:"uid"`
		Endpoint string      `json:"endpoint"`
		Zone     string      `json:"az"`
		Group    int         `json:"pod_group"`
		State    string      `json:"state"`
		Weight   json.Number `json:"capacity_hint"`
		BootMS   json.Number `json:"boot_ms"`
		Role     string      `json:"role"`
	} `json:"targets"`
}

var states = map[string]State{"ready": Ready, "draining": Draining, "gone": Removed}

// ParseList parses one message of discovery. It returns an error if any entry is invalid; a removed one needs no endpoint.
func ParseList(raw []byte) (List, error) {
	var w wireList
	if err := json.Unmarshal(raw, &w); err != nil {
		return List{}, fmt.Errorf("the list cannot be read: %w", err)
	}
	if w.Rev == nil {
		return List{}, errors.New("the list has no rev")
	}
	l := List{Rev: *w.Rev, Full: w.All, Entries: make([]Entry, 0, len(w.Targets))}
	for i, t := range w.Targets {
		state, ok := states[t.State]
		if !ok {
			return List{}, fmt.Errorf("targets[%d]: state %.40q is not known", i, t.State)
		}
		if t.UID == "" {
			return List{}, fmt.Errorf("targets[%d] has no uid", i)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && state != Removed {
			return List{}, fmt.Errorf("targets[%d]: endpoint %.60q is no host:port", i, t.Endpoint)
		}
		l.Entries = append(l.Entries, Entry{
			UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Group: t.Group, State: state, Weight: t.Weight,
			BootMS: t.BootMS, Primary: t.Role == "primary",
		})
	}
	return l, nil
}
