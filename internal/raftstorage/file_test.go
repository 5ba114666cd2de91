package raftstorage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/raftstore"
)

// drawn makes a write that fits what is there, as a host makes them.
func drawn(rng *rand.Rand, i raftstore.Image) raftstore.Write {
	w := raftstore.Write{Store: max(i.Store, 7), Life: i.Life + uint64(rng.IntN(2))}
	if i.Store != 0 && rng.IntN(40) == 0 {
		w.Store++
		i = raftstore.Image{}
	}
	if rng.IntN(4) == 0 {
		w.View = []byte(fmt.Sprint("view ", rng.Uint64()))
	}
	if rng.IntN(8) == 0 {
		w.Retired = []raftstore.Ref{{Group: rng.Uint32N(4), Epoch: 1, Number: rng.Uint64N(9)}}
	}
	for group := range uint32(4) {
		var s *raftstore.StoredGroup
		for k := range i.Groups {
			if i.Groups[k].Group == group {
				s = &i.Groups[k]
			}
		}
		x := raftstore.GroupWrite{Group: group, Epoch: 1, Number: uint64(group) + 10}
		next := uint64(1)
		if s != nil && s.Snapshot != nil {
			next = s.Snapshot.GetMetadata().GetIndex() + 1
		}
		if s != nil && len(s.Entries) > 0 {
			next = s.Entries[len(s.Entries)-1].GetIndex() + 1
		}
		switch rng.IntN(6) {
		case 0:
			continue
		case 1:
			if x.Drop = s != nil && rng.IntN(5) == 0; !x.Drop {
				continue
			}
		case 2:
			data := make([]byte, rng.IntN(3*pieceSize))
			for k := range data {
				data[k] = byte(k * int(group+1))
			}
			x.Keep = rng.IntN(2) == 0
			index := next + 5
			if x.Keep && next > 1 {
				index = next - 1
			}
			x.Snapshot = &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(index), Term: new(uint64(3)), ConfState: &pb.ConfState{Voters: []uint64{1, 2}}}}
			fallthrough
		default:
			if x.Snapshot == nil {
				if s != nil && len(s.Entries) > 2 && rng.IntN(3) == 0 {
					next -= 2 // they replace the last ones
				}
				for range rng.IntN(4) {
					x.Entries = append(x.Entries, &pb.Entry{Index: new(next), Term: new(uint64(2)), Data: []byte(fmt.Sprint(rng.Uint64()))})
					next++
				}
			}
			x.Hard = &pb.HardState{Term: new(rng.Uint64N(9)), Vote: new(rng.Uint64N(3)), Commit: new(uint64(0))}
		}
		w.Groups = append(w.Groups, x)
	}
	return w
}

func show(s *raftstore.Stored) string {
	out := fmt.Sprintf("%d %d %s %v", s.Store, s.Life, s.View, s.Retired)
	for _, g := range s.Groups {
		out += fmt.Sprintf("\n%d/%d/%d %v", g.Group, g.Epoch, g.Number, g.Hard)
		if g.Snapshot != nil {
			out += fmt.Sprintf(" snapshot %v of %d %x", g.Snapshot.Metadata, len(g.Snapshot.Data), g.Snapshot.Data[:min(8, len(g.Snapshot.Data))])
		}
		for _, e := range g.Entries {
			out += fmt.Sprintf(" %d:%s", e.GetIndex(), e.Data)
		}
	}
	return out
}

func open(t *testing.T, path, want string) *File {
	t.Helper()
	f, s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := show(s); got != want {
		t.Fatalf("got\n%.600s\nwant\n%.600s", got, want)
	}
	return f
}

// What is read back is what the model of a disk comes to, however often the file is closed in between; and the same file cut
// anywhere within a write is as it was before it.
func TestFile(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		path := filepath.Join(t.TempDir(), "copies.db")
		var image raftstore.Image
		f := open(t, path, show(image.Stored()))
		for i := range 60 {
			w := drawn(rng, image)
			before, _ := os.ReadFile(path)
			was := show(image.Stored())
			if err := f.Write(w); err != nil {
				t.Fatal(err)
			}
			image = image.Apply(w)
			if i%6 == 0 {
				f.Close()
				if i > 0 {
					torn(t, rng, before, path, was, show(image.Stored()))
				}
				f = open(t, path, show(image.Stored()))
				if f.Sequence() != uint64(i+1) {
					t.Fatalf("%d writes, counted %d", i+1, f.Sequence())
				}
			}
		}
		f.Close()
		if s, err := Check(path); err != nil || show(s) != show(image.Stored()) {
			t.Fatalf("%v\n%.900s\nwant\n%.900s", err, show(s), show(image.Stored()))
		}
	}
}

const pageSize = 4096

// torn makes files in which some pages of a write have come to the disk and others not, the leading two, of which one says
// where all others begin, half or not at all: they hold what was there before.
func torn(t *testing.T, rng *rand.Rand, before []byte, path, was, is string) {
	t.Helper()
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		mixed := append([]byte(nil), before...)
		if len(after) > len(mixed) && rng.IntN(2) == 0 {
			mixed = append(mixed, make([]byte, len(after)-len(mixed))...)
		}
		for at := 2 * pageSize; at+pageSize <= min(len(mixed), len(after)); at += pageSize {
			if rng.IntN(2) == 0 {
				copy(mixed[at:at+pageSize], after[at:])
			}
		}
		for meta := range 2 {
			if at := meta * pageSize; rng.IntN(2) == 0 && string(before[at:at+pageSize]) != string(after[at:at+pageSize]) {
				copy(mixed[at:at+40], after[at:at+40]) // its own sum is in its second half
			}
		}
		other := filepath.Join(t.TempDir(), "torn.db")
		if err := os.WriteFile(other, mixed, 0o600); err != nil {
			t.Fatal(err)
		}
		f, s, err := Open(other)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		if got := show(s); got != was && got != is {
			t.Fatalf("a torn write left\n%.500s", got)
		}
	}
}

// A byte that is another one is noticed, or was of no account.
func TestFlippedBytes(t *testing.T) {
	if raced {
		t.Skip("the race detector's check of pointers ends the process before the file's own checks see anything")
	}
	rng := rand.New(rand.NewPCG(5, 1))
	path := filepath.Join(t.TempDir(), "copies.db")
	var image raftstore.Image
	f := open(t, path, show(image.Stored()))
	for range 30 {
		w := drawn(rng, image)
		if err := f.Write(w); err != nil {
			t.Fatal(err)
		}
		image = image.Apply(w)
	}
	f.Close()
	sound, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	tries := 0
	another := func() string { // the library may keep a file open, and locked, that made it panic
		tries++
		return fmt.Sprint(path, tries)
	}
	noticed := 0
	for range 150 {
		bad := append([]byte(nil), sound...)
		bad[rng.IntN(len(bad))] ^= 1 << rng.IntN(8)
		path := another()
		if err := os.WriteFile(path, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		var damaged *DamagedError
		f, s, err := Open(path)
		switch {
		case errors.As(err, &damaged):
			noticed++
			continue
		case err != nil:
			t.Fatal(err)
		}
		f.Close()
		if show(s) != show(image.Stored()) {
			t.Fatal("a flipped bit was believed")
		}
	}
	t.Logf("%d of 150 noticed, the others hit nothing", noticed)
	if noticed < 6 { // some 30 of them: where the pages lie in the file is another one each time
		t.Error("hardly any was noticed")
	}
	for _, step := range []int{16, 64, 333, 1024, 4096} {
		for _, from := range []int{0, 4096, 16384} {
			bad := append([]byte(nil), sound...)
			for i := from + 8; i < len(bad); i += step {
				bad[i] ^= 0x55
			}
			path := another()
			os.WriteFile(path, bad, 0o600)
			var damaged *DamagedError
			if _, _, err := Open(path); !errors.As(err, &damaged) {
				t.Errorf("every byte %d from %d: %v", step, from, err)
			}
		}
	}
	// A length that leads out of all memory: the element of "format" says that its value has two gigabytes.
	spoilt := append([]byte(nil), sound...)
	element := append(binary.LittleEndian.AppendUint32(nil, uint32(len(keyFormat))), 16, 0, 0)
	lengths := 0
	for at := 0; ; lengths++ {
		next := bytes.Index(spoilt[at:], element)
		if next < 0 {
			break
		}
		at += next + len(element)
		spoilt[at] = 0x7f
	}
	if lengths == 0 {
		t.Error("no length was found to spoil")
	}
	for name, content := range map[string]string{"text": "this is no store", "short": string(sound[:5000]), "foreign": string(make([]byte, 32768)),
		"length": string(spoilt)} {
		path := another()
		os.WriteFile(path, []byte(content), 0o600)
		var damaged *DamagedError
		if _, _, err := Open(path); !errors.As(err, &damaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The witness knows the disk that was written last, and no other one.
func TestWitness(t *testing.T) {
	path := filepath.Join(t.TempDir(), "witness")
	for _, c := range []struct {
		store, sequence uint64
		known           bool
		note            uint64
	}{{7, 0, false, 5}, {7, 5, true, 6}, {7, 7, true, 7}, {7, 6, false, 0}, {8, 9, false, 0}, {7, 7, false, 0}, {7, 9, false, 9}, {7, 9, true, 0}} {
		w, known, err := OpenWitness(path, c.store, c.sequence)
		if err != nil || known != c.known {
			t.Errorf("%+v: %v %v", c, known, err)
		}
		if c.note > 0 {
			if err := w.Record(c.store, c.note); err != nil {
				t.Fatal(err)
			}
		}
		w.Close()
	}
	os.WriteFile(path, make([]byte, 60), 0o600)
	if _, known, _ := OpenWitness(path, 0, 0); known {
		t.Error("one of another start of the machine is believed")
	}
}
