package gateway

import "testing"

// A session's mark stays under the key that earlier versions have given it.
func TestSessionKey(t *testing.T) {
	if got, want := string(sessionKey(2, 1<<56+9)), "session \x00\x00\x00\x02\x01\x00\x00\x00\x00\x00\x00\x09"; got != want {
		t.Errorf("the key is %q, want %q", got, want)
	}
}
