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
	// Whoever says too much or nothing holds nobody up for long, and is answered by the end.
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	c.Write([]byte(strings.Repeat("x", 10*maxQuestionSize)))
	if n, _ := c.Read(make([]byte, 10)); n != 0 {
		t.Error("an answer to no question")
	}
	c.Close()
	s.Close()
	if err := Query(path, "how", &got); err == nil || !strings.Contains(err.Error(), "no gateway answers at") {
		t.Errorf("%v", err)
	}
	(*Server)(nil).Close()
}

// The socket of a process that died is replaced; a file that is no socket is left alone.
func TestWhatIsThereBefore(t *testing.T) {
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
	if _, err := Listen(path, nil); err == nil || !strings.Contains(err.Error(), "no socket") {
		t.Errorf("%v", err)
	}
	if b, _ := os.ReadFile(path); string(b) != "mine" {
		t.Error("the file was touched")
	}
}
