// Package simhost runs many routers for the simulator: it passes each event of a batch to the instance (simulated gateway) that
// the event is addressed to, and writes the resulting actions back. A fault of one instance does not affect the others. The
// package makes no decisions. Command simhost calls Run, whose goroutine owns all state; there are no other goroutines. The main
// steps are host.handleLine, host.handleMessage and host.guard.
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

// Sizes of buffers, in bytes.
const (
	maxLineLength     = 64 << 20 // longest line of input; an endpoint sheet is one line, however many entries it has
	initialLineBuffer = 1 << 20
	writeBufferSize   = 1 << 16
)

// Errors about the order of lines. No single instance is the cause of such an error, so it ends the run.
var (
	errNestedBatch     = errors.New("a batch began inside another batch")
	errNoBatchToEnd    = errors.New("a batch ended without having begun")
	errOutsideBatch    = errors.New("a message outside a batch")
	errUnfinishedBatch = errors.New("input ended inside a batch")
)

// instance is one simulated gateway.
type instance struct {
	settings *settings.Snapshot
	router   *policy.Router
	broken   bool // the instance had a fault; its events are ignored until it is started again
}

// sheet is an endpoint sheet: entries of the endpoint list, to which events refer by the number of the sheet. A later sheet with
// the same number replaces the earlier sheet.
type sheet struct {
	endpoints []policy.Endpoint
	sent      bool
}

// host runs all instances of the process.
type host struct {
	now       clock.Micros // time of the current batch
	inBatch   bool
	sheets    [simwire.MaxSheets]sheet
	instances map[int]*instance
	reply     []byte // reply to the current batch so far
}

// Run reads batches from the reader in until the input ends, and writes the reply to each batch to the writer out. A fault of one
// instance is reported in errorLog and in the reply, and the other instances continue. Any other error ends the run.
func Run(in io.Reader, out, errorLog io.Writer) error {
	h := &host{instances: map[int]*instance{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, initialLineBuffer), maxLineLength)
	w := bufio.NewWriterSize(out, writeBufferSize)
	for number := 1; lines.Scan(); number++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		done, err := h.handleLine(lines.Bytes())
		var fault *simwire.FaultError
		switch {
		case errors.As(err, &fault):
			fmt.Fprintf(errorLog, "simhost: line %d: %v\n", number, err)
			h.breakInstance(fault)
		case err != nil:
			return fmt.Errorf("line %d: %w", number, err)
		case done:
			if err := h.sendReply(w); err != nil {
				return err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if h.inBatch {
		return errUnfinishedBatch
	}
	return nil
}

// breakInstance adds a fault of an instance to the reply. The instance's events are ignored until it is started again.
func (h *host) breakInstance(fault *simwire.FaultError) {
	h.reply = simwire.AppendFault(h.reply, fault.Instance, fault.Text)
	h.instances[fault.Instance] = &instance{broken: true}
}

// sendReply writes the reply to a batch, and clears it for the next batch.
func (h *host) sendReply(w *bufio.Writer) error {
	if _, err := w.Write(simwire.AppendDone(h.reply)); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	h.reply = h.reply[:0]
	return nil
}

// handleLine handles one line of input and reports whether it ended a batch.
func (h *host) handleLine(line []byte) (batchEnded bool, err error) {
	message, err := simwire.Decode(line, h.settingsOf)
	var fault *simwire.FaultError
	isFault := errors.As(err, &fault)
	switch {
	case isFault && h.isBroken(fault.Instance):
		return false, nil
	case isFault && !h.inBatch:
		return false, errors.New(err.Error()) // ends the run: outside a batch there is no reply that could report the fault
	case err != nil:
		return false, err
	}
	switch m := message.(type) {
	case simwire.BatchBegin:
		if h.inBatch {
			return false, errNestedBatch
		}
		h.now, h.inBatch = m.Now, true
		return false, nil
	case simwire.BatchEnd:
		if !h.inBatch {
			return false, errNoBatchToEnd
		}
		h.inBatch = false
		return true, nil
	}
	if !h.inBatch {
		return false, errOutsideBatch
	}
	return false, h.handleMessage(message)
}

// handleMessage handles a message inside a batch.
func (h *host) handleMessage(message simwire.Message) error {
	switch m := message.(type) {
	case simwire.StartInstance:
		return h.start(m)
	case simwire.StopInstance:
		delete(h.instances, m.Instance)
	case simwire.EndpointSheet:
		h.sheets[m.Number] = sheet{endpoints: m.Endpoints, sent: true}
	case simwire.EndpointListChanged:
		return h.updateEndpointList(m)
	case simwire.InstanceEvent:
		return h.step(m.Instance, m.Event)
	}
	return nil
}

// start starts an instance. It replaces an earlier instance with the same number.
func (h *host) start(m simwire.StartInstance) error {
	h.instances[m.Instance] = &instance{settings: m.Settings}
	return h.guard(m.Instance, func(in *instance) []policy.Action {
		router, first := policy.New(h.now, m.Seed, m.Settings.Settings)
		in.router = router
		return first
	})
}

// updateEndpointList passes a change of the endpoint list to an instance, with the entries of the sheet that the message
// names.
func (h *host) updateEndpointList(m simwire.EndpointListChanged) error {
	update := policy.EndpointUpdate{Form: m.Form}
	if m.Form != policy.ListFailed {
		named := h.sheets[m.Sheet]
		if !named.sent && !h.isBroken(m.Instance) {
			return &simwire.FaultError{Instance: m.Instance, Text: "a list names a sheet never sent"}
		}
		update.Endpoints = named.endpoints
	}
	return h.step(m.Instance, update)
}

// settingsOf returns the settings of a started instance, or nil if there is no such instance.
func (h *host) settingsOf(number int) *settings.Snapshot {
	if in := h.instances[number]; in != nil {
		return in.settings
	}
	return nil
}

// isBroken reports whether an instance has had a fault since it was last started.
func (h *host) isBroken(number int) bool {
	in := h.instances[number]
	return in != nil && in.broken
}

// step passes one event to the router of an instance.
func (h *host) step(number int, event policy.Event) error {
	return h.guard(number, func(in *instance) []policy.Action { return in.router.Step(h.now, event) })
}

// guard calls the function decide for an instance and adds the resulting actions to the reply. It turns a panic of the router
// into a fault of that instance. For a broken instance, it does nothing.
func (h *host) guard(number int, decide func(*instance) []policy.Action) (err error) {
	in := h.instances[number]
	if in == nil {
		return &simwire.FaultError{Instance: number, Text: "an event for an instance that was never started"}
	}
	if in.broken {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			err = &simwire.FaultError{Instance: number, Text: fmt.Sprintf("the module panicked: %v", p)}
		}
	}()
	h.reply = simwire.AppendActions(h.reply, number, decide(in))
	return nil
}
