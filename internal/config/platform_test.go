package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marblespan/internal/settings"
)

func sample(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "sample.json"))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func emptyEnv(string) string { return "" }

func TestSample(t *testing.T) {
	c, err := Parse(sample(t), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != "127.0.0.1:6433" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 ||
		len(c.KnownServers.Entries) != 3 || len(c.InForce.ClassNames) != 3 || c.InForce.Keepalive != 30_000_000 {
		t.Errorf("%+v", c)
	}
}

// change returns the sample configuration with the key at a path set to a value, or removed if the value is nil.
func change(t *testing.T, path string, value any) []byte {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal(sample(t), &all); err != nil {
		t.Fatal(err)
	}
	at, keys := all, strings.Split(path, ".")
	for _, k := range keys[:len(keys)-1] {
		at = at[k].(map[string]any)
	}
	if last := keys[len(keys)-1]; value == nil {
		delete(at, last)
	} else {
		at[last] = value
	}
	raw, _ := json.Marshal(all)
	return raw
}

// classWith returns a list of one class of keyed writes, with one of its keys set to a value, or removed if the value is nil.
func classWith(key string, value any) []any {
	class := map[string]any{"name": "put", "aim_ms": 100, "give_up_ms": 500, "effect": "guarded", "key_ttl_ms": 700, "points": 1}
	if class[key] = value; value == nil {
		delete(class, key)
	}
	return []any{class}
}

// tenants returns a list of tenants from pairs of a name and a share.
func tenants(pairs ...any) (list []any) {
	for i := 0; i < len(pairs); i += 2 {
		list = append(list, map[string]any{"name": pairs[i], "portion": pairs[i+1], "quota_per_s": 10})
	}
	return list
}

// TestRoundedTenantShares checks that shares are accepted if their sum exceeds 1 only because they are rounded.
func TestRoundedTenantShares(t *testing.T) {
	if _, err := Parse(change(t, "settings.realms", tenants("a", 0.334, "b", 0.333, "c", 0.334)), emptyEnv); err != nil {
		t.Error(err)
	}
}

func TestFaultyKeysAreNamed(t *testing.T) {
	for _, c := range []struct {
		path  string
		value any
		key   string
	}{
		{"listen", nil, "listen"}, {"listen", "here", "listen"}, {"listen", "127.0.0.1:0", "listen"},
		{"listen", "localhost:80", "listen"}, {"listen", 7, "listen"}, {"discovery", nil, "discovery"},
		{"discovery", "127.0.0.1:99999", "discovery"}, {"seed", nil, "seed"}, {"seed", "xyz", "seed"},
		{"seed", 5, "seed"}, {"limits.cores", 0, "limits.cores"}, {"limits.cores", "two", "limits.cores"},
		{"limits.memory_mb", 1, "limits.memory_mb"}, {"limits.memory_mb", 1.5, "limits.memory_mb"},
		{"limits.sockets", -1, "limits.sockets"}, {"limits", "none", "limits"}, {"known", []int{}, "known"},
		{"known", map[string]any{"all": true}, "known"}, {"settings", nil, "settings"},
		{"settings", map[string]any{}, "settings.classes"}, {"settings.classes", "none", "settings.classes"},
		{"settings.rules.cold_from", "warm", "settings.rules.cold_from"},
		{"settings.rules.fall_ms", -1, "settings.rules.fall_ms"},
		{"settings.family_info.freshness", []string{"strong", "purple"}, "settings.family_info.freshness[1]"},
		{"settings.family_info.checks", "maybe", "settings.family_info.checks"},
		{"settings.policy_limits.probing", 3, "settings.policy_limits.probing"},
		{"settings.classes", classWith("effect", nil), "settings.classes[0].effect"},
		{"settings.classes", classWith("effect", "sideways"), "settings.classes[0].effect"},
		{"settings.classes", classWith("give_up_ms", nil), "settings.classes[0].give_up_ms"},
		{"settings.classes", classWith("give_up_ms", 0), "settings.classes[0].give_up_ms"},
		{"settings.classes", classWith("give_up_ms", -5), "settings.classes[0].give_up_ms"},
		{"settings.classes", classWith("key_ttl_ms", nil), "settings.classes[0].key_ttl_ms"},
		{"settings.classes", classWith("key_ttl_ms", 0), "settings.classes[0].key_ttl_ms"},
		{"settings.classes", classWith("name", nil), "settings.classes[0].name"},
		{"settings.classes", append(classWith("aim_ms", 200), classWith("aim_ms", 300)...), "settings.classes[1].name"},
		{"settings.realms", tenants("a", 0.5, "b", 0.6), "settings.realms[1].portion"},
		{"settings.realms", tenants("a", 1.5), "settings.realms[0].portion"},
		{"settings.realms", tenants("a", 0), "settings.realms[0].portion"},
		{"settings.realms", tenants("a", -0.5), "settings.realms[0].portion"},
		{"settings.realms", tenants("a", "half"), "settings.realms[0].portion"},
		{"settings.realms", tenants("a", 0.5, "a", 0.5), "settings.realms[1].name"},
		{"settings.realms", tenants("", 0.5), "settings.realms[0].name"},
	} {
		t.Run(fmt.Sprintf("%s=%v", c.path, c.value), func(t *testing.T) {
			_, err := Parse(change(t, c.path, c.value), emptyEnv)
			if fault, ok := errors.AsType[*settings.KeyError](err); !ok || fault.Key != c.key {
				t.Errorf("%v, want the key %s named", err, c.key)
			}
		})
	}
}

func TestEnvironmentFillsIn(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"PROXY_NAME": "n9", "PROXY_LISTEN": "127.0.0.9:1", "PROXY_DISCOVERY": "127.0.0.8:2"}[name]
	}
	c, err := Parse(change(t, "listen", nil), env)
	if err != nil || c.Listen != "127.0.0.9:1" || c.Discovery != "127.0.0.1:8500" || c.Name != "n0" {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestDefaults(t *testing.T) {
	c, err := Parse(change(t, "limits", nil), emptyEnv)
	if err != nil || c.Cores != defaultCores || c.MemoryMB != defaultMemoryMB || c.Sockets != defaultSockets {
		t.Errorf("%+v, %v", c, err)
	}
	if c, err = Parse(change(t, "known", nil), emptyEnv); err != nil || len(c.KnownServers.Entries) != 0 {
		t.Errorf("without a list: %+v, %v", c, err)
	}
}

func TestLoad(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte("{not json"), 0o600); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"": "not set", bad: "not a JSON object", bad + ".none": "cannot be read"} {
		_, err := Load(func(string) string { return path })
		if err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", path, err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "sample.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"limits":{"cores":1e400}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Parse(raw, emptyEnv); err == nil && (c.InForce == nil || len(c.InForce.ClassNames) == 0) {
			t.Fatal("a configuration without classes was accepted")
		}
	})
}

// TestListIsSubscribedInEveryMode checks that the gateway subscribes to the endpoint list in every membership mode, because it
// gets the list only on a watch, and that an unknown mode is a fault.
func TestListIsSubscribedInEveryMode(t *testing.T) {
	for mode, pushed := range map[string]bool{"subscribe": false, "automatic": true} {
		c, err := Parse(change(t, "settings.membership_mode", mode), emptyEnv)
		if err != nil {
			t.Fatal(err)
		}
		if s := c.InForce.Settings; !s.ListSubscribed || s.ListPushed != pushed {
			t.Errorf("%s: subscribed %v, pushed %v", mode, s.ListSubscribed, s.ListPushed)
		}
	}
	var fault *settings.KeyError
	_, err := Parse(change(t, "settings.membership_mode", "by post"), emptyEnv)
	if !errors.As(err, &fault) || fault.Key != "settings.membership_mode" {
		t.Errorf("an unknown mode: %v", err)
	}
}
