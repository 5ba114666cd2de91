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
	BootMS   json.Number // Unix milliseconds of the server's last start; 0 if it started long ago
	Primary  bool        // whether the list names the server as the primary
}

// List is one message of the discovery service: the complete list if Full is set, otherwise the entries that changed. Rev is
// the revision of the list.
type List struct {
	Rev     int64
	Full    bool
	Entries []Entry
}

// wireList is the JSON form of a List, with the field names that the platform documents.
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

// ParseList parses one message of the discovery service. It returns an error if any entry is invalid. The entry of a removed
// server needs no endpoint.
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
			return List{}, fmt.Errorf("targets[%d]: unknown state %.40q", i, t.State)
		}
		if t.UID == "" {
			return List{}, fmt.Errorf("targets[%d] has no uid", i)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && state != Removed {
			return List{}, fmt.Errorf("targets[%d]: endpoint %.60q is not of the form host:port", i, t.Endpoint)
		}
		l.Entries = append(l.Entries, Entry{
			UID: t.UID, Endpoint: t.Endpoint, Zone: t.Zone, Group: t.Group, State: state, Weight: t.Weight,
			BootMS: t.BootMS, Primary: t.Role == "primary",
		})
	}
	return l, nil
}
