package gateway

import "testing"

// The key of a session's position is the same as in earlier versions, which may have stored positions already.
func TestSessionKey(t *testing.T) {
	if got, want := string(sessionKey(2, 1<<56+9)), "session \x00\x00\x00\x02\x01\x00\x00\x00\x00\x00\x00\x09"; got != want {
		t.Errorf("the key is %q, want %q", got, want)
	}
}
