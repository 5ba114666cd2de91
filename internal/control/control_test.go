package control

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestAskAndAnswer(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, func(q string) (any, error) {
		if q != "how" {
			return nil, errors.New("unknown question " + q)
		}
		return []int{1, 2}, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var got []int
	for range 10 {
		if err := Query(path, "how", &got); err != nil || len(got) != 2 {
			t.Fatalf("%v %v", got, err)
		}
	}
	if err := Query(path, "what", &got); err == nil || err.Error() != "unknown question what" {
		t.Errorf("%v", err)
	}
	if info, _ := os.Stat(path); info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v", info.Mode())
	}
	if _, err := Listen(path, nil); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("%v", err)
	}
	// A question that is too long, or not sent at all, does not block other clients for long. It gets no answer, and its connection
	// is closed.
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(strings.Repeat("x", 10*maxQuestionSize)))
	if n, _ := c.Read(make([]byte, 10)); n != 0 {
		t.Error("the server answered a question that is too long")
	}
	c.Close()
	s.Close()
	if err := Query(path, "how", &got); err == nil || !strings.Contains(err.Error(), "no gateway answers at") {
		t.Errorf("%v", err)
	}
	(*Server)(nil).Close()
}

// TestExistingFile checks that Listen replaces the socket of a dead process, and leaves a file alone that is not a socket.
func TestExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	l.Close()
	s, err := Listen(path, func(string) (any, error) { return 1, nil })
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	os.WriteFile(path, []byte("mine"), 0o600)
	if _, err := Listen(path, nil); err == nil || !strings.Contains(err.Error(), "is not a socket") {
		t.Errorf("%v", err)
	}
	if b, _ := os.ReadFile(path); string(b) != "mine" {
		t.Error("the file was changed")
	}
}
