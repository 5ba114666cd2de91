package raftstore

import (
	"fmt"
)

// silent is a logger for the library: what matters is in this package's own notices.
type silent struct{}

func (silent) Debug(...any) {}

func (silent) Debugf(string, ...any) {}

func (silent) Error(...any) {}

func (silent) Errorf(string, ...any) {}

func (silent) Info(...any) {}

func (silent) Infof(string, ...any) {}

func (silent) Warning(...any) {}

func (silent) Warningf(string, ...any) {}

func (silent) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (silent) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
