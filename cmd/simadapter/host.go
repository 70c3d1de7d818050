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

// Names of the load report's fields in the settings.
const (
	quotaLeftField = "x0"
	rateLimitField = "x1"
)

// instance is one simulated sender.
type instance struct {
	number     uint16
	dispatcher *dispatch.Dispatcher
	classes    int // number of message classes

	// Indexes of the two values in a load report, -1 if the report does not contain them.
	quotaLeftIndex int
	rateLimitIndex int

	events   []dispatch.Event // events of the current batch
	hasBatch bool             // whether the current batch has records for the instance
}

// host owns the instances and passes the simulator's batches to them.
type host struct {
	instances map[uint16]*instance
	order     []*instance // the instances in the current batch, in the order of their first records
	catalogs  map[uint32][]simprotocol.Node
	reply     simprotocol.Reply
}

func newHost() *host {
	return &host{instances: map[uint16]*instance{}, catalogs: map[uint32][]simprotocol.Node{}}
}

// handleBatch reads one batch and writes the reply to it. It reports false when the input has ended.
func (h *host) handleBatch(r io.Reader, w io.Writer) (bool, error) {
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
	for _, inst := range h.order {
		if h.instances[inst.number] == inst { // false if the instance ended in this batch
			h.step(inst, now)
		}
		inst.events, inst.hasBatch = inst.events[:0], false
	}
	return true, h.reply.Flush(w)
}

// handleRecord translates one record and adds it to the events of its instance.
func (h *host) handleRecord(e *simprotocol.Event) error {
	switch e.Code {
	case simprotocol.CodeCatalog:
		h.catalogs[e.Page] = e.Nodes
		return nil
	case simprotocol.CodeHello:
		return h.startInstance(e)
	}
	inst := h.instances[e.Instance]
	if inst == nil {
		return fmt.Errorf("instance %d is not running", e.Instance)
	}
	if e.Code == simprotocol.CodeExit {
		delete(h.instances, e.Instance)
		return nil
	}
	event, err := h.translateEvent(inst, e)
	if err != nil {
		return err
	}
	h.addToBatch(inst)
	if event != nil {
		inst.events = append(inst.events, event)
	}
	return nil
}

// addToBatch includes an instance in the current batch.
func (h *host) addToBatch(inst *instance) {
	if !inst.hasBatch {
		inst.hasBatch = true
		h.order = append(h.order, inst)
	}
}

// startInstance starts an instance. It replaces an earlier instance with the same number.
func (h *host) startInstance(e *simprotocol.Event) error {
	inst, err := newInstance(e)
	if err != nil {
		return err
	}
	h.instances[e.Instance] = inst
	h.addToBatch(inst)
	return nil
}

func newInstance(e *simprotocol.Event) (*instance, error) {
	env, err := simprotocol.ParseEnv(e.Env)
	if err != nil {
		return nil, err
	}
	s := settings.Translate(env)
	inst := &instance{number: e.Instance, classes: len(s.Classes), quotaLeftIndex: -1, rateLimitIndex: -1}
	for i, name := range env.List("telemetry.fields") {
		switch name {
		case quotaLeftField:
			inst.quotaLeftIndex = i
		case rateLimitField:
			inst.rateLimitIndex = i
		}
	}
	if err := env.Err(); err != nil {
		return nil, err
	}
	inst.dispatcher = dispatch.New(s, e.Nonce)
	return inst, nil
}

// step runs one step of the dispatcher and writes its actions. A panic in the dispatcher becomes an internal_error.
func (h *host) step(inst *instance, now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.InternalError(inst.number, fmt.Sprint("panic in the decision module: ", p))
		}
	}()
	for _, action := range inst.dispatcher.Step(now, inst.events) {
		h.writeAction(inst.number, action)
	}
}
