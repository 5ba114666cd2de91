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

// The environment variables.
const (
	envName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
	envConfig    = "PROXY_CONFIG"
)

// The limits that apply if the configuration does not set them.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// The bounds of the limits. The lower bounds are the least that the gateway can work with; the upper bounds exceed the resources
// of any machine.
const (
	maxCores    = 1024
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
	minSockets  = 64
	maxSockets  = 1 << 20
)

// Config is the platform's configuration, which a gateway gets at its start.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	Seed         uint64
	Cores        float64
	MemoryMB     int
	Sockets      int
	KnownServers discovery.List     // the last endpoint list that the platform had received from discovery before the start
	InForce      *settings.Snapshot // the parsed settings
	Settings     map[string]any     // as in the file, so that a reload can log which keys changed
}

// keyError returns a *settings.KeyError, which names the key of the file or the environment variable that is at fault.
func keyError(key, format string, a ...any) error {
	return &settings.KeyError{Key: key, Text: fmt.Sprintf(format, a...)}
}

// Load reads the configuration file whose path is in the environment variable PROXY_CONFIG.
func Load(env func(string) string) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, keyError(envConfig, "not set; it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError(envConfig, "the file cannot be read: %v", errors.Unwrap(err))
	}
	return Parse(raw, env)
}

// fileConfig is the JSON object in the file.
type fileConfig struct {
	Name      *string         `json:"name"`
	Listen    *string         `json:"listen"`
	Discovery *string         `json:"discovery"`
	Seed      *string         `json:"seed"`
	Limits    fileLimits      `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// fileLimits holds the resources that the platform grants to the gateway.
type fileLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// Parse reads the content of the configuration file. The name and the addresses may come from the environment if the file does
// not set them. The errors of Parse are of type *settings.KeyError.
func Parse(raw []byte, env func(string) string) (*Config, error) {
	var w fileConfig
	if err := json.Unmarshal(raw, &w); err != nil {
		if kind, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && kind.Field != "" {
			return nil, keyError(kind.Field, "is a %s, which is not the expected type", kind.Value)
		}
		return nil, keyError(envConfig, "the file is not a JSON object: %v", err)
	}
	c := &Config{
		Name: valueOr(w.Name, env(envName)), Listen: valueOr(w.Listen, env(envListen)),
		Discovery: valueOr(w.Discovery, env(envDiscovery)), Cores: defaultCores, MemoryMB: defaultMemoryMB,
		Sockets: defaultSockets,
	}
	for _, step := range []func(fileConfig) error{c.checkAddresses, c.readSeed, c.readLimits, c.readKnownServers, c.readSettings} {
		if err := step(w); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Config) checkAddresses(fileConfig) error {
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if address.value == "" {
			return keyError(address.key, "missing")
		}
		if err := checkAddress(address.value); err != nil {
			return keyError(address.key, "%q is not an address: %v", address.value, err)
		}
	}
	return nil
}

func (c *Config) readSeed(w fileConfig) (err error) {
	if w.Seed == nil {
		return keyError("seed", "missing")
	}
	if c.Seed, err = strconv.ParseUint(*w.Seed, 16, 64); err != nil {
		return keyError("seed", "%.40q is not a hexadecimal number of 64 bits", *w.Seed)
	}
	return nil
}

func (c *Config) readLimits(w fileConfig) error {
	limits := w.Limits
	if limits.Cores != nil {
		if c.Cores = *limits.Cores; c.Cores <= 0 || c.Cores > maxCores {
			return keyError("limits.cores", "invalid value %v: must be above 0 and at most %d", c.Cores, maxCores)
		}
	}
	if limits.MemoryMB != nil {
		if c.MemoryMB = *limits.MemoryMB; c.MemoryMB < minMemoryMB || c.MemoryMB > maxMemoryMB {
			return keyError("limits.memory_mb", "invalid value %d: must be from %d to %d", c.MemoryMB, minMemoryMB, maxMemoryMB)
		}
	}
	if limits.Sockets != nil {
		if c.Sockets = *limits.Sockets; c.Sockets < minSockets || c.Sockets > maxSockets {
			return keyError("limits.sockets", "invalid value %d: must be from %d to %d", c.Sockets, minSockets, maxSockets)
		}
	}
	return nil
}

func (c *Config) readKnownServers(w fileConfig) (err error) {
	if !present(w.Known) {
		return nil
	}
	if c.KnownServers, err = discovery.ParseList(w.Known); err != nil {
		return keyError("known", "%v", err)
	}
	return nil
}

func (c *Config) readSettings(w fileConfig) (err error) {
	if !present(w.Settings) {
		return keyError("settings", "missing")
	}
	if c.InForce, err = settings.Parse(w.Settings); err != nil {
		if fault, ok := errors.AsType[*settings.KeyError](err); ok {
			return keyError("settings."+fault.Key, "%s", fault.Text)
		}
		return keyError("settings", "%v", err)
	}
	if warnings := c.InForce.Warnings; len(warnings) > 0 { // only the simulator accepts settings with warnings; the platform's file must be corrected
		return keyError("settings."+warnings[0].Key, "%s", warnings[0].Text)
	}
	// The simulator pushes the endpoint list without a subscription. Over sockets, the gateway must open a watch to receive it.
	if s := &c.InForce.Settings; !s.ListSubscribed {
		s.ListSubscribed, s.ListPushed = true, true
	}
	if len(c.InForce.ClassNames) == 0 {
		return keyError("settings.classes", "must name at least one class")
	}
	if err := json.Unmarshal(w.Settings, &c.Settings); err != nil {
		return keyError("settings", "%v", err)
	}
	return nil
}

// RestartRequired returns the keys whose values differ in next and cannot be changed in a running gateway. The seed and the known
// endpoint list are not among these keys, because a gateway uses them only at its start.
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

// Changed returns the sorted keys whose values differ between two JSON objects. A key of a nested object is written outer.inner.
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

// valueOr returns the value that the file gives, or the fallback if the file gives no value.
func valueOr(given *string, fallback string) string {
	if given != nil && *given != "" {
		return *given
	}
	return fallback
}

// present reports whether the file has a key with a value other than null.
func present(raw json.RawMessage) bool { return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) }

func checkAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return errors.New("the host is not an IP address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.New("the port is not a number from 1 to 65535")
	}
	return nil
}
