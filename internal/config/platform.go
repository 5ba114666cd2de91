package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"marblespan/internal/protocol/discovery"
	"marblespan/internal/settings"
)

// The environment's names.
const (
	envName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
	envConfig    = "PROXY_CONFIG"
)

// The limits where the configuration names none.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// The bounds of the limits: the least that the gateway can work with, and more than any machine has.
const (
	maxCores    = 1024
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
	minSockets  = 64
	maxSockets  = 1 << 20
)

// Config is the platform's configuration: all that a gateway is told at its start.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	Seed         uint64
	Cores        float64
	MemoryMB     int
	Sockets      int
	KnownServers discovery.List // that discovery had told before the start
	InForce      *settings.Snapshot
	Settings     map[string]any // as written, to tell what a reload changes
}

// faulty is a *settings.KeyError: it names the key of the file or the environment variable that is at fault.
func faulty(key, format string, a ...any) error {
	return &settings.KeyError{Key: key, Text: fmt.Sprintf(format, a...)}
}

// Load reads the configuration that the environment points to.
func Load(env func(string) string) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, faulty(envConfig, "not set; it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, faulty(envConfig, "the file cannot be read: %v", errors.Unwrap(err))
	}
	return Parse(raw, env)
}

// wireConfig is the file, with the platform's keys.
type wireConfig struct {
	Name      *string         `json:"name"`
	Listen    *string         `json:"listen"`
	Discovery *string         `json:"discovery"`
	Seed      *string         `json:"seed"`
	Limits    wireLimits      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// wireLimits are what the platform grants the gateway.
type wireLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// Parse reads the configuration file's content. What it leaves out the environment may say. Its errors are *settings.KeyError.
func Parse(raw []byte, env func(string) string) (*Config, error) {
	var w wireConfig
	if err := json.Unmarshal(raw, &w); err != nil {
		if kind, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && kind.Field != "" {
			return nil, faulty(kind.Field, "is a %s, not of the type expected", kind.Value)
		}
		return nil, faulty(envConfig, "the file is not a JSON object: %v", err)
	}
	c := &Config{
		Name: choose(w.Name, env(envName)), Listen: choose(w.Listen, env(envListen)),
		Discovery: choose(w.Discovery, env(envDiscovery)), Cores: defaultCores, MemoryMB: defaultMemoryMB,
		Sockets: defaultSockets,
	}
	for _, step := range []func(wireConfig) error{c.checkAddresses, c.readSeed, c.readLimits, c.readKnownServers, c.readSettings} {
		if err := step(w); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Config) checkAddresses(wireConfig) error {
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if address.value == "" {
			return faulty(address.key, "missing")
		}
		if err := checkAddress(address.value); err != nil {
			return faulty(address.key, "%q is no address: %v", address.value, err)
		}
	}
	return nil
}

func (c *Config) readSeed(w wireConfig) (err error) {
	if w.Seed == nil {
		return faulty("seed", "missing")
	}
	if c.Seed, err = strconv.ParseUint(*w.Seed, 16, 64); err != nil {
		return faulty("seed", "%.40q is not a hexadecimal number of 64 bits", *w.Seed)
	}
	return nil
}

func (c *Config) readLimits(w wireConfig) error {
	limits := w.Limits
	if limits.Cores != nil {
		if c.Cores = *limits.Cores; c.Cores <= 0 || c.Cores > maxCores {
			return faulty("limits.cores", "%v is not above 0", c.Cores)
		}
	}
	if limits.MemoryMB != nil {
		if c.MemoryMB = *limits.MemoryMB; c.MemoryMB < minMemoryMB || c.MemoryMB > maxMemoryMB {
			return faulty("limits.memory_mb", "%d is not from %d up", c.MemoryMB, minMemoryMB)
		}
	}
	if limits.Sockets != nil {
		if c.Sockets = *limits.Sockets; c.Sockets < minSockets || c.Sockets > maxSockets {
			return faulty("limits.sockets", "%d is not from %d up", c.Sockets, minSockets)
		}
	}
	return nil
}

func (c *Config) readKnownServers(w wireConfig) (err error) {
	if !present(w.Known) {
		return nil
	}
	if c.KnownServers, err = discovery.ParseList(w.Known); err != nil {
		return faulty("known", "%v", err)
	}
	return nil
}

func (c *Config) readSettings(w wireConfig) (err error) {
	if !present(w.Settings) {
		return faulty("settings", "missing")
	}
	if c.InForce, err = settings.Parse(w.Settings); err != nil {
		if fault, ok := errors.AsType[*settings.KeyError](err); ok {
			return faulty("settings."+fault.Key, "%s", fault.Text)
		}
		return faulty("settings", "%v", err)
	}
	if warnings := c.InForce.Warnings; len(warnings) > 0 { // the simulator's wire takes them; the platform's file is to be corrected
		return faulty("settings."+warnings[0].Key, "%s", warnings[0].Text)
	}
	// In the simulator a pushed list comes by itself. Over sockets it comes on a watch, which has to be opened.
	if s := &c.InForce.Settings; !s.ListSubscribed {
		s.ListSubscribed, s.ListPushed = true, true
	}
	if len(c.InForce.ClassNames) == 0 {
		return faulty("settings.classes", "names no class")
	}
	if err := json.Unmarshal(w.Settings, &c.Settings); err != nil {
		return faulty("settings", "%v", err)
	}
	return nil
}

// RestartRequired lists the keys whose values in next differ from those in force and cannot be taken over by a running gateway.
// The seed and the list last known only matter at a start.
func (c *Config) RestartRequired(next *Config) []string {
	var keys []string
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen},
		{"limits.cores", c.Cores == next.Cores}, {"limits.memory_mb", c.MemoryMB == next.MemoryMB},
		{"limits.sockets", c.Sockets == next.Sockets},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// Changed lists the keys whose values differ between two objects, a key of an object within as outer.inner, in order.
func Changed(from, to map[string]any) []string {
	var keys []string
	for key := range from {
		if _, both := to[key]; !both {
			keys = append(keys, key)
		}
	}
	for key, now := range to {
		was, both := from[key]
		inner, isObject := now.(map[string]any)
		if outer, wasObject := was.(map[string]any); isObject && wasObject {
			for _, k := range Changed(outer, inner) {
				keys = append(keys, key+"."+k)
			}
		} else if !both || !reflect.DeepEqual(was, now) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// choose is what the file gives, or else the fallback.
func choose(given *string, fallback string) string {
	if given != nil && *given != "" {
		return *given
	}
	return fallback
}

// present tells whether the file has a key, and not as null.
func present(raw json.RawMessage) bool { return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) }

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("its host is no IP address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("its port is no number from 1 to 65535")
	}
	return nil
}
