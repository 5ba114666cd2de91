package raftstorage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"

	"marblespan/internal/raftstore"
)

// randomWrite returns a random write that is consistent with the stored state, as a host would produce it.
func randomWrite(rng *rand.Rand, image raftstore.Image) raftstore.Write {
	w := raftstore.Write{Store: max(image.Store, 7), Incarnation: image.Incarnation + uint64(rng.IntN(2))}
	if image.Store != 0 && rng.IntN(40) == 0 {
		w.Store++
		image = raftstore.Image{}
	}
	if rng.IntN(4) == 0 {
		w.Ledger = fmt.Append(nil, "view ", rng.Uint64())
	}
	if rng.IntN(8) == 0 {
		w.Retired = []raftstore.MemberRef{{Group: rng.Uint32N(4), Epoch: 1, Member: rng.Uint64N(9)}}
	}
	for group := range uint32(4) {
		var stored *raftstore.StoredMember
		if i := slices.IndexFunc(image.Members, func(g raftstore.StoredMember) bool { return g.Group == group }); i >= 0 {
			stored = &image.Members[i]
		}
		if write, changed := randomMemberWrite(rng, group, stored); changed {
			w.Members = append(w.Members, write)
		}
	}
	return w
}

// randomMemberWrite returns one member's part of a write. changed is false if the write has no part for the member. stored is nil if
// the member is new.
func randomMemberWrite(rng *rand.Rand, group uint32, stored *raftstore.StoredMember) (w raftstore.MemberWrite, changed bool) {
	w = raftstore.MemberWrite{Group: group, Epoch: 1, Member: uint64(group) + 10}
	next := nextIndex(stored)
	switch rng.IntN(6) {
	case 0:
		return w, false
	case 1:
		w.Delete = stored != nil && rng.IntN(5) == 0
		return w, w.Delete
	case 2:
		w.KeepEntries = rng.IntN(2) == 0
		index := next + 5
		if w.KeepEntries && next > 1 {
			index = next - 1
		}
		w.Snapshot = randomSnapshot(rng, group, index)
	default:
		if stored != nil && len(stored.Entries) > 2 && rng.IntN(3) == 0 {
			next -= 2 // the new entries replace the last two
		}
		for range rng.IntN(4) {
			w.Entries = append(w.Entries, &pb.Entry{Index: new(next), Term: new(uint64(2)), Data: fmt.Append(nil, rng.Uint64())})
			next++
		}
	}
	w.HardState = &pb.HardState{Term: new(rng.Uint64N(9)), Vote: new(rng.Uint64N(3)), Commit: new(uint64(0))}
	return w, true
}

// nextIndex returns the index after the last one that a member has stored.
func nextIndex(stored *raftstore.StoredMember) uint64 {
	switch {
	case stored == nil:
		return 1
	case len(stored.Entries) > 0:
		return stored.Entries[len(stored.Entries)-1].GetIndex() + 1
	case stored.Snapshot != nil:
		return stored.Snapshot.GetMetadata().GetIndex() + 1
	}
	return 1
}

// randomSnapshot returns a snapshot of up to three pieces.
func randomSnapshot(rng *rand.Rand, group uint32, index uint64) *pb.Snapshot {
	data := make([]byte, rng.IntN(3*pieceSize))
	for i := range data {
		data[i] = byte(i * int(group+1))
	}
	return &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: new(index), Term: new(uint64(3)), ConfState: &pb.ConfState{Voters: []uint64{1, 2}}}}
}

// describe formats the stored state, for comparison.
func describe(s *raftstore.StoredState) string {
	out := fmt.Sprintf("%d %d %s %v", s.Store, s.Incarnation, s.Ledger, s.Retired)
	for _, g := range s.Members {
		out += fmt.Sprintf("\n%d/%d/%d %v", g.Group, g.Epoch, g.Member, g.HardState)
		if g.Snapshot != nil {
			out += fmt.Sprintf(" snapshot %v of %d %x", g.Snapshot.Metadata, len(g.Snapshot.Data), g.Snapshot.Data[:min(8, len(g.Snapshot.Data))])
		}
		for _, e := range g.Entries {
			out += fmt.Sprintf(" %d:%s", e.GetIndex(), e.Data)
		}
	}
	return out
}

// openWant opens a file and fails the test if its content, as formatted by describe, is not want.
func openWant(t *testing.T, path, want string) *File {
	t.Helper()
	f, stored, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := describe(stored); got != want {
		t.Fatalf("got\n%.600s\nwant\n%.600s", got, want)
	}
	return f
}

// After any writes, and however often the file is closed in between, the file has the same content as raftstore.Image, the model of a
// disk, after the same writes. If a write was torn, the file has the content before or after that write.
func TestFile(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			path := filepath.Join(t.TempDir(), "store.db")
			var image raftstore.Image
			f := openWant(t, path, describe(image.State()))
			for i := range 60 {
				w := randomWrite(rng, image)
				before, _ := os.ReadFile(path)
				was := describe(image.State())
				if err := f.Write(w); err != nil {
					t.Fatal(err)
				}
				image = image.Apply(w)
				if i%6 == 0 {
					f.Close()
					if i > 0 {
						checkTornWrites(t, rng, before, path, was, describe(image.State()))
					}
					f = openWant(t, path, describe(image.State()))
					if f.Sequence() != uint64(i+1) {
						t.Fatalf("sequence %d, want %d", f.Sequence(), i+1)
					}
				}
			}
			f.Close()
			if s, err := Check(path); err != nil || describe(s) != describe(image.State()) {
				t.Fatalf("%v\n%.900s\nwant\n%.900s", err, describe(s), describe(image.State()))
			}
		})
	}
}

const pageSize = 4096

// checkTornWrites creates files in which only some pages of a write have reached the disk, and the other pages have the content before
// the write. The first two pages (bbolt's meta pages, one of which refers to all other pages) were written in part or not at all.
func checkTornWrites(t *testing.T, rng *rand.Rand, before []byte, path, was, is string) {
	t.Helper()
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		torn := tornFile(rng, before, after)
		path := filepath.Join(t.TempDir(), "torn.db")
		if err := os.WriteFile(path, torn, 0o600); err != nil {
			t.Fatal(err)
		}
		f, stored, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		if got := describe(stored); got != was && got != is {
			t.Fatalf("after a torn write\n%.500s", got)
		}
	}
}

// tornFile returns a file that has some pages of before and others of after.
func tornFile(rng *rand.Rand, before, after []byte) []byte {
	torn := bytes.Clone(before)
	if len(after) > len(torn) && rng.IntN(2) == 0 {
		torn = append(torn, make([]byte, len(after)-len(torn))...)
	}
	for at := 2 * pageSize; at+pageSize <= min(len(torn), len(after)); at += pageSize {
		if rng.IntN(2) == 0 {
			copy(torn[at:at+pageSize], after[at:])
		}
	}
	for meta := range 2 {
		if at := meta * pageSize; rng.IntN(2) == 0 && !bytes.Equal(before[at:at+pageSize], after[at:at+pageSize]) {
			copy(torn[at:at+40], after[at:at+40]) // these bytes do not include the page's checksum
		}
	}
	return torn
}

// Damage to the file is detected, unless it is in bytes that are never read.
func TestDamagedFile(t *testing.T) {
	if raceDetector {
		t.Skip("the race detector's pointer checks end the process before the file's own checks detect the damage")
	}
	rng := rand.New(rand.NewPCG(5, 1))
	path := filepath.Join(t.TempDir(), "store.db")
	var image raftstore.Image
	f := openWant(t, path, describe(image.State()))
	for range 30 {
		w := randomWrite(rng, image)
		if err := f.Write(w); err != nil {
			t.Fatal(err)
		}
		image = image.Apply(w)
	}
	f.Close()
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	files := 0
	openContent := func(content []byte) (*File, *raftstore.StoredState, error) {
		files++ // a new path each time, because bbolt may keep a file open and locked after a panic
		path := fmt.Sprint(path, files)
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		return Open(path)
	}

	t.Run("one bit", func(t *testing.T) {
		detected := 0
		for range 150 {
			content := bytes.Clone(intact)
			content[rng.IntN(len(content))] ^= 1 << rng.IntN(8)
			var damaged *DamagedError
			f, stored, err := openContent(content)
			switch {
			case errors.As(err, &damaged):
				detected++
				continue
			case err != nil:
				t.Fatal(err)
			}
			f.Close()
			if describe(stored) != describe(image.State()) {
				t.Fatal("a flipped bit was not detected")
			}
		}
		t.Logf("%d of 150 flipped bits were detected; the others are in bytes that are never read", detected)
		if detected < 6 { // usually about 30; the positions of the pages in the file differ from run to run
			t.Errorf("%d of 150 flipped bits were detected, want at least 6", detected)
		}
	})

	wantDamaged := func(t *testing.T, content []byte, cause error) {
		t.Helper()
		var damaged *DamagedError
		if _, _, err := openContent(content); !errors.As(err, &damaged) || cause != nil && !errors.Is(err, cause) {
			t.Errorf("%v, want a DamagedError with the cause %v", err, cause)
		}
	}
	for _, step := range []int{16, 64, 333, 1024, 4096} {
		for _, from := range []int{0, 4096, 16384} {
			t.Run(fmt.Sprintf("every byte %d from %d", step, from), func(t *testing.T) {
				content := bytes.Clone(intact)
				for i := from + 8; i < len(content); i += step {
					content[i] ^= 0x55
				}
				wantDamaged(t, content, nil)
			})
		}
	}
	for _, c := range []struct {
		name    string
		content []byte
		cause   error // nil if the cause is an error of bbolt
	}{
		{"text", []byte("this is no store"), nil},
		{"too short", intact[:5000], nil},
		{"zeros", make([]byte, 32768), nil},
		{"length beyond all memory", withHugeLengths(t, intact), nil},
		{"another program's", contentOf(t, func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("other")); return err }), ErrFormat},
		{"later format", contentOf(t, func(tx *bbolt.Tx) error {
			metadata, err := tx.CreateBucket(bucketMetadata)
			return errors.Join(err, bucket{metadata}.setNumber(keyFormat, format+1))
		}), ErrFormat},
		{"without members' bucket", contentOf(t, func(tx *bbolt.Tx) error {
			metadata, err := tx.CreateBucket(bucketMetadata)
			return errors.Join(err, bucket{metadata}.setNumber(keyFormat, format), bucket{metadata}.setNumber(keyStore, 7))
		}), ErrIncomplete},
		{"value of another key", contentOf(t, func(tx *bbolt.Tx) error {
			metadata, err := tx.CreateBucket(bucketMetadata)
			err = errors.Join(err, bucket{metadata}.setNumber(keyFormat, format))
			return errors.Join(err, metadata.Put(keyStore, metadata.Get(keyFormat)))
		}), ErrChecksum},
	} {
		t.Run(c.name, func(t *testing.T) { wantDamaged(t, c.content, c.cause) })
	}
}

// withHugeLengths returns a copy of a file in which each page element that may belong to the key "format" has a value length of about
// two gigabytes.
func withHugeLengths(t *testing.T, intact []byte) []byte {
	t.Helper()
	content := bytes.Clone(intact)
	element := append(binary.LittleEndian.AppendUint32(nil, uint32(len(keyFormat))), 16, 0, 0)
	lengths := 0
	for at := 0; ; lengths++ {
		next := bytes.Index(content[at:], element)
		if next < 0 {
			break
		}
		at += next + len(element)
		content[at] = 0x7f
	}
	if lengths == 0 {
		t.Error("found no length to change")
	}
	return content
}

// contentOf returns the content of a bbolt file that contains only the changes of one transaction.
func contentOf(t *testing.T, write func(*bbolt.Tx) error) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "other.db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(db.Update(write), db.Close()); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// An error that does not indicate damaged content is not a DamagedError.
func TestAccessErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	f, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	openErr := func(path string) error { _, _, err := Open(path); return err }
	checkErr := func(path string) error { _, err := Check(path); return err }
	for _, c := range []struct {
		name, path string
		open       func(path string) error
		want       error
	}{
		{"open while open", path, openErr, ErrLocked},
		{"check while open", path, checkErr, ErrLocked},
		{"open in no directory", filepath.Join(path+".none", "store.db"), openErr, os.ErrNotExist},
		{"check what is not there", path + ".none", checkErr, os.ErrNotExist},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.open(c.path)
			var damaged *DamagedError
			if !errors.Is(err, c.want) || errors.As(err, &damaged) {
				t.Errorf("%v, want %v", err, c.want)
			}
		})
	}
}

// After a failed write the file accepts no more writes.
func TestNoWriteAfterFailure(t *testing.T) {
	f, _, err := Open(filepath.Join(t.TempDir(), "store.db"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.db.Close()
	if err := f.Write(raftstore.Write{Store: 7}); err == nil || errors.Is(err, ErrWriteFailed) {
		t.Errorf("first write: %v, want an error of bbolt", err)
	}
	if err := f.Write(raftstore.Write{Store: 7}); !errors.Is(err, ErrWriteFailed) {
		t.Errorf("second write: %v, want %v", err, ErrWriteFailed)
	}
	if f.Sequence() != 0 {
		t.Errorf("%d writes, want 0", f.Sequence())
	}
}
