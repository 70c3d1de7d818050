package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/settings"
	"onyxdyke.example/onyxdyke/internal/simprotocol"
)

// Names of the load report's fields, as the settings list them.
const (
	quotaLeftField = "x0"
	rateLimitField = "x1"
)

// instance is one sender that the adapter hosts.
type instance struct {
	number     uint16
	dispatcher *dispatch.Dispatcher
	classes    int // number of message classes

	// Indexes of the two values in a load report, -1 if it lacks them.
	quotaLeftIndex int
	rateLimitIndex int

	events   []dispatch.Event // of the batch at hand
	hasBatch bool             // the batch at hand has records for it
}

// host owns the instances and plays the simulator's batches to them.
type host struct {
	instances map[uint16]*instance
	order     []*instance // those with records in the batch at hand, in order of their first
	catalogs  map[uint32][]simprotocol.Node
	reply     simprotocol.Reply
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, catalogs: map[uint32][]simprotocol.Node{}}
}

// round handles one batch; it reports false when the input has ended.
func (h *host) round(r io.Reader, w io.Writer) (bool, error) {
	batch, err := simprotocol.ReadBatch(r)
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	h.order = h.order[:0]
	for i := range batch.Events {
		e := &batch.Events[i]
		if err := h.handleRecord(e); err != nil {
			return false, fmt.Errorf("record %d at offset %d (code %d): %w", e.Index, e.Offset, e.Code, err)
		}
	}
	now := settings.DurationFromMilliseconds(batch.Clock)
	for _, in := range h.order {
		if h.instances[in.number] == in { // it has not ended in this batch
			h.step(in, now)
		}
		in.events, in.hasBatch = in.events[:0], false
	}
	return true, h.reply.Flush(w)
}

// handleRecord books one record with its instance.
func (h *host) handleRecord(e *simprotocol.Event) error {
	switch e.Code {
	case simprotocol.CodeCatalog:
		h.catalogs[e.Page] = e.Nodes
		return nil
	case simprotocol.CodeHello:
		return h.startInstance(e)
	}
	in := h.instances[e.Instance]
	if in == nil {
		return fmt.Errorf("instance %d is not running", e.Instance)
	}
	if e.Code == simprotocol.CodeExit {
		delete(h.instances, e.Instance)
		return nil
	}
	event, err := h.event(in, e)
	if err != nil {
		return err
	}
	h.markBatch(in)
	if event != nil {
		in.events = append(in.events, event)
	}
	return nil
}

// markBatch lets an instance take part in the batch at hand.
func (h *host) markBatch(in *instance) {
	if !in.hasBatch {
		in.hasBatch = true
		h.order = append(h.order, in)
	}
}

// startInstance starts an instance, in place of the one of its number if there is one.
func (h *host) startInstance(e *simprotocol.Event) error {
	in, err := newInstance(e)
	if err != nil {
		return err
	}
	h.instances[e.Instance] = in
	h.markBatch(in)
	return nil
}

func newInstance(e *simprotocol.Event) (*instance, error) {
	env, err := simprotocol.ParseEnv(e.Env)
	if err != nil {
		return nil, err
	}
	s := settings.Translate(env)
	in := &instance{number: e.Instance, classes: len(s.Classes), quotaLeftIndex: -1, rateLimitIndex: -1}
	for i, name := range env.List("telemetry.fields") {
		switch name {
		case quotaLeftField:
			in.quotaLeftIndex = i
		case rateLimitField:
			in.rateLimitIndex = i
		}
	}
	if err := env.Err(); err != nil {
		return nil, err
	}
	in.dispatcher = dispatch.New(s, e.Nonce)
	return in, nil
}

// step runs the decision module and writes its actions; a panic in it becomes an internal_error.
func (h *host) step(in *instance, now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.InternalError(in.number, fmt.Sprint("panic in the decision module: ", p))
		}
	}()
	for _, action := range in.dispatcher.Step(now, in.events) {
		h.writeAction(in.number, action)
	}
}
