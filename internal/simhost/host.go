// Package simhost hosts many routers behind the bench's wire: it routes each batch's events to the instance
// they name, writes the actions back, and keeps the instances apart. It decides nothing.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"marblespan/internal/clock"
	"marblespan/internal/policy"
	"marblespan/internal/settings"
	"marblespan/internal/simwire"
)

// maxLine bounds one line of input; a batch may be megabytes long, and a list is one line.
const maxLine = 64 << 20

type instance struct {
	facts  *settings.InForce
	router *policy.Router
	broken bool // it has faulted: its events are passed over until it starts anew
}

// Host runs every instance of one process.
type Host struct {
	now       clock.Micros
	inBatch   bool
	sheets    [simwire.MaxSheets][]policy.Endpoint
	sheetSent [simwire.MaxSheets]bool
	instances map[int]*instance
	out       []byte
}

// Run serves batches from in until it ends and writes replies to out. A defect that belongs to one instance is
// told on complaints and goes out as that instance's fault; the others go on. Any other defect ends the run.
func Run(in io.Reader, out, complaints io.Writer) error {
	h := &Host{instances: map[int]*instance{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 1<<20), maxLine)
	w := bufio.NewWriterSize(out, 1<<16)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		done, err := h.line(lines.Bytes())
		var fault *simwire.FaultError
		switch {
		case errors.As(err, &fault):
			fmt.Fprintf(complaints, "simhost: line %d: %v\n", n, err)
			h.out = simwire.AppendFault(h.out, fault.Instance, fault.Text)
			h.instances[fault.Instance] = &instance{broken: true}
		case err != nil:
			return fmt.Errorf("line %d: %w", n, err)
		case done:
			if _, err := w.Write(simwire.AppendDone(h.out)); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
			h.out = h.out[:0]
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if h.inBatch {
		return errors.New("input ended inside a batch")
	}
	return nil
}

// line handles one line of input and tells whether it ended a batch.
func (h *Host) line(raw []byte) (bool, error) {
	msg, err := simwire.Decode(raw, h.factsOf)
	var fault *simwire.FaultError
	if errors.As(err, &fault) && h.isBroken(fault.Instance) {
		return false, nil
	}
	if err != nil && fault != nil && !h.inBatch {
		return false, errors.New(err.Error()) // no reply is under way that could carry the fault
	}
	if err != nil {
		return false, err
	}
	switch m := msg.(type) {
	case simwire.BatchBegin:
		if h.inBatch {
			return false, errors.New("a batch began inside a batch")
		}
		h.now, h.inBatch = m.Now, true
		return false, nil
	case simwire.BatchEnd:
		if !h.inBatch {
			return false, errors.New("a batch ended that had not begun")
		}
		h.inBatch = false
		return true, nil
	}
	if !h.inBatch {
		return false, errors.New("an event stands outside a batch")
	}
	switch m := msg.(type) {
	case simwire.StartInstance:
		h.instances[m.Instance] = &instance{facts: m.Settings}
		return false, h.guard(m.Instance, func(in *instance) []policy.Action {
			r, first := policy.New(h.now, m.Seed, m.Settings.Settings)
			in.router = r
			return first
		})
	case simwire.StopInstance:
		delete(h.instances, m.Instance)
	case simwire.EndpointSheet:
		h.sheets[m.Number], h.sheetSent[m.Number] = m.Endpoints, true
	case simwire.EndpointListChanged:
		news := policy.EndpointUpdate{Form: m.Form}
		if m.Form != policy.ListFailed {
			if !h.sheetSent[m.Sheet] && !h.isBroken(m.Instance) {
				return false, &simwire.FaultError{Instance: m.Instance, Text: "a list names a sheet never sent"}
			}
			news.Endpoints = h.sheets[m.Sheet]
		}
		return false, h.step(m.Instance, news)
	case simwire.InstanceEvent:
		return false, h.step(m.Instance, m.Event)
	}
	return false, nil
}

func (h *Host) factsOf(inst int) *settings.InForce {
	if in := h.instances[inst]; in != nil {
		return in.facts
	}
	return nil
}

func (h *Host) isBroken(inst int) bool {
	in := h.instances[inst]
	return in != nil && in.broken
}

func (h *Host) step(inst int, ev policy.Event) error {
	return h.guard(inst, func(in *instance) []policy.Action { return in.router.Step(h.now, ev) })
}

// guard runs one decision of an instance and turns a panic of the module into that instance's fault.
func (h *Host) guard(inst int, decide func(*instance) []policy.Action) (err error) {
	in := h.instances[inst]
	if in == nil {
		return &simwire.FaultError{Instance: inst, Text: "an event for an instance that was never started"}
	}
	if in.broken {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			err = &simwire.FaultError{Instance: inst, Text: fmt.Sprintf("the module panicked: %v", p)}
		}
	}()
	h.out = simwire.AppendActions(h.out, inst, decide(in))
	return nil
}
