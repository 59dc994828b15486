// Package simhost runs instances of the decision module for the simulator, over the protocol of package wire.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"mulleinwood/internal/planner/wire"
	"mulleinwood/rules"
)

// Stepper is the part of rules.Controller that a Host uses.
type Stepper interface {
	Step(now float64, events []rules.Event) []rules.Action
}

// Host holds a Stepper for each running instance. Instances share no state. A Host is not safe for concurrent use.
type Host struct {
	start     func(rules.Settings, uint64) Stepper
	instances map[uint16]Stepper
}

// New returns a Host without instances, which creates the Stepper of a new instance by calling start.
func New(start func(rules.Settings, uint64) Stepper) *Host {
	return &Host{start: start, instances: map[uint16]Stepper{}}
}

// Serve reads frames from r and writes a reply to each to w. It returns nil when r ends between two frames.
func Serve(r io.Reader, w io.Writer) error {
	h := New(func(s rules.Settings, seed uint64) Stepper { return rules.New(s, seed) })
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	for {
		body, err := wire.ReadFrame(in)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		batch, err := wire.Decode(body)
		if err != nil {
			return fmt.Errorf("decode: %w", err)
		}
		frame, err := h.Respond(batch)
		if err != nil {
			return fmt.Errorf("answer: %w", err)
		}
		if _, err := out.Write(frame); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

// Respond steps each running instance that the batch contains, in the order of their first records, and returns the encoded
// reply. A start or stop record discards the earlier events of its instance in the batch.
func (h *Host) Respond(batch wire.Batch) ([]byte, error) {
	var reply wire.Reply
	var instanceOrder []uint16
	events := map[uint16][]rules.Event{}
	for _, r := range batch.Records {
		if _, seen := events[r.Instance]; !seen {
			events[r.Instance] = nil
			instanceOrder = append(instanceOrder, r.Instance)
		}
		switch {
		case r.Stop:
			delete(h.instances, r.Instance)
			events[r.Instance] = events[r.Instance][:0]
		case r.Start != nil:
			h.instances[r.Instance] = h.start(r.Start.Settings, r.Start.Seed)
			events[r.Instance] = events[r.Instance][:0]
		case r.Event != nil:
			events[r.Instance] = append(events[r.Instance], r.Event)
		}
	}
	for _, id := range instanceOrder {
		stepper, running := h.instances[id]
		if !running {
			continue
		}
		actions, failure := step(stepper, batch.Now, events[id])
		if len(actions) == 0 && failure == "" {
			continue
		}
		reply.SelectInstance(id)
		if failure != "" {
			reply.AddFailure(failure)
			continue
		}
		for _, a := range actions {
			if err := reply.Add(a); err != nil {
				return nil, fmt.Errorf("instance %d: %w", id, err)
			}
		}
	}
	return reply.Frame(), nil
}

// step calls Step. If the module panics, step returns no actions and the text for a failure record.
func step(s Stepper, now float64, events []rules.Event) (actions []rules.Action, failure string) {
	defer func() {
		if p := recover(); p != nil {
			actions, failure = nil, fmt.Sprintf("decision module panicked: %v", p)
		}
	}()
	return s.Step(now, events), ""
}
