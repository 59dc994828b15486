// Package simhost hosts instances of the decision module behind the simulator's wire.
package simhost

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"mulleinwood/internal/planner/wire"
	"mulleinwood/rules"
)

// Stepper is the part of a rules.Controller that the host drives.
type Stepper interface {
	Step(now float64, events []rules.Event) []rules.Action
}

// Host keeps one Stepper for each running instance. Instances share nothing.
type Host struct {
	start     func(rules.Settings, uint64) Stepper
	instances map[uint16]Stepper
}

// New returns a host that starts instances with start.
func New(start func(rules.Settings, uint64) Stepper) *Host {
	return &Host{start: start, instances: map[uint16]Stepper{}}
}

// Serve answers every frame of r on w until r ends.
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

// Respond steps every instance that the batch names, in the order in which they first appear.
func (h *Host) Respond(b wire.Batch) ([]byte, error) {
	var reply wire.Reply
	var order []uint16
	events := map[uint16][]rules.Event{}
	for _, r := range b.Records {
		if _, seen := events[r.Instance]; !seen {
			events[r.Instance] = nil
			order = append(order, r.Instance)
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
	for _, id := range order {
		inst, running := h.instances[id]
		if !running {
			continue
		}
		actions, failure := step(inst, b.Now, events[id])
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

// step turns a panic of the module into the text of its failure record.
func step(s Stepper, now float64, events []rules.Event) (actions []rules.Action, failure string) {
	defer func() {
		if p := recover(); p != nil {
			actions, failure = nil, fmt.Sprintf("decision module panicked: %v", p)
		}
	}()
	return s.Step(now, events), ""
}
