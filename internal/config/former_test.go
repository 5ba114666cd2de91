package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"marblespan/internal/config/lines"
)

// TestFormerWordsTable checks the entries of formerWords: the section exists, the new word is one of its directives, and the
// former word is not.
func TestFormerWordsTable(t *testing.T) {
	directives := map[string][]string{}
	root := reflect.TypeFor[Operators]()
	for i := range root.NumField() {
		keyword := root.Field(i).Tag.Get("section")
		if keyword == "" {
			continue
		}
		section := root.Field(i).Type.Elem()
		for k := range section.NumField() {
			directive, _, _ := strings.Cut(section.Field(k).Tag.Get("conf"), ",")
			directives[keyword] = append(directives[keyword], directive)
		}
	}
	for former, newWord := range formerWords {
		known := directives[former.section]
		if former.section == "" {
			known = lines.Sections(&Operators{})
		}
		inSection := func(word string) bool { return strings.Contains(" "+strings.Join(known, " ")+" ", " "+word+" ") }
		if inSection(former.name) || !inSection(newWord) {
			t.Errorf("%q in %q: the new word is %q, the section has %v", former.name, former.section, newWord, known)
		}
	}
}

func TestFormerWords(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string // line, former word, new word
	}{
		{"none", "control /x\n", nil},
		{"a section and its directives", "members\nnode a\nbind 127.0.0.2:1\nkey 1 0123456789abcdef\n\ncopies # a comment\nholders all\ncopies 3\nstore memory\n",
			[]string{"6 copies state-store", "7 holders raft-nodes", "8 copies voters", "9 store storage"}},
		{"a former directive in a section with its new keyword", "members\nnode a\nbind 127.0.0.2:1\nkey 1 0123456789abcdef\nstate-store\nholders all\nvoters 3\nstorage memory\n",
			[]string{"6 holders raft-nodes"}},
		{"a directive that may be repeated", "members\nnode a\nbind 127.0.0.2:1\nkey 1 0123456789abcdef\nstate-store\nholders a\nraft-nodes b\nholders c\nstorage memory\n",
			[]string{"6 holders raft-nodes", "8 holders raft-nodes"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, err := ParseOperators("x", c.text)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, w := range o.FormerWords() {
				got = append(got, fmt.Sprint(w.Line, " ", w.Former, " ", w.New))
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func TestFormerWordWarning(t *testing.T) {
	w := FormerWord{File: "m.conf", Line: 7, Former: "holders", New: "raft-nodes"}
	if got, want := w.String(), "m.conf:7: holders: deprecated, use raft-nodes instead"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// TestFaultsOfFormerWords checks that a fault in a line with a former word names the directive as the file writes it.
func TestFaultsOfFormerWords(t *testing.T) {
	edit := func(old, new string) string {
		if !strings.Contains(sampleConf, old) {
			t.Fatalf("%q is not in the sample", old)
		}
		return strings.Replace(sampleConf, old, new, 1)
	}
	for _, c := range []struct{ name, text, want string }{
		{"the new word, then the former", edit("voters 5", "voters 5\n copies 5"), "x:40: copies: duplicate directive, first given on line 39"},
		{"the former word, then the new", edit("voters 5", "copies 5\n voters 5"), "x:40: voters: duplicate directive, first given on line 39"},
		{"a section by both keywords", sampleConf + "copies\n", "x:50: copies: duplicate section"},
		{"a section keyword with a value", "copies 3\n", "x:1: copies: section keyword takes no value"},
		{"an invalid value", edit("voters 5", "copies three"), `x:39: copies: invalid value "three": not an integer, or out of range`},
		{"a value out of range", edit("voters 5", "copies 4"), "x:39: copies: must be one of 1, 3, 5"},
		{"a duration that is too short", edit("repair-after 30s", "heal-after 1s"), "x:42: heal-after: invalid value 1s: must be at least 2s and at least 20 heartbeats"},
		{"a section without the one that it requires", strings.Replace(edit(memberLines(), ""), "state-store\n", "copies\n", 1), "x:28: copies: requires a members section"},
		{"in another section", edit("zone a", "holders a"), "x:9: holders: unknown directive; valid directives here: advertise, bind, deployment, interval, join, key, node, via, weight, zone"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseOperators("x", c.text); err == nil || !strings.Contains("\n"+err.Error()+"\n", "\n"+c.want+"\n") {
				t.Errorf("%v\nwant\n%s", err, c.want)
			}
		})
	}
}
