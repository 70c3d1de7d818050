package handover

// Packets to and from the wire format.

import (
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

func (h Hello) freeze() frozenPacket {
	return frozenPacket{Hello: &frozenHello{Version: h.Version, Connections: h.TakesConnections}}
}

func (s *Snapshot) freeze() frozenPacket {
	return frozenPacket{Estate: freezeSnapshot(s)}
}

func (r ForwardedRequest) freeze() frozenPacket {
	return frozenPacket{Submit: &frozenRequest{Seq: r.Sequence, Record: freezeRecord(r.Record)}}
}

func (r ForwardedResponse) freeze() frozenPacket {
	return frozenPacket{Answer: &frozenAnswer{Seq: r.Sequence, Status: r.Status, Retry: r.RetryAfter, Text: r.Text}}
}

func (r AttemptReport) freeze() frozenPacket {
	return frozenPacket{Ended: &frozenAttemptEnd{Flight: freezeAttemptID(r.Attempt), End: freezeOutcome(r.Result)}}
}

func (r RetryAfterReport) freeze() frozenPacket {
	return frozenPacket{Wait: &frozenWait{Endpoint: r.Endpoint, Wait: r.RetryAfter}}
}

func (c CancelAttempt) freeze() frozenPacket {
	id := freezeAttemptID(c.Attempt)
	return frozenPacket{Cancel: &id}
}

// thaw translates what was read to a packet, nil if this release does not know it.
func (f frozenPacket) thaw() Packet {
	switch {
	case f.Hello != nil:
		return Hello{Version: f.Hello.Version, TakesConnections: f.Hello.Connections}
	case f.Estate != nil:
		return f.Estate.thaw()
	case f.Submit != nil:
		return ForwardedRequest{Sequence: f.Submit.Seq, Record: f.Submit.Record.thaw()}
	case f.Answer != nil:
		return ForwardedResponse{
			Sequence:   f.Answer.Seq,
			Status:     f.Answer.Status,
			RetryAfter: f.Answer.Retry,
			Text:       f.Answer.Text,
		}
	case f.Ended != nil:
		return AttemptReport{Attempt: f.Ended.Flight.thaw(), Result: f.Ended.End.thaw()}
	case f.Wait != nil:
		return RetryAfterReport{Endpoint: f.Wait.Endpoint, RetryAfter: f.Wait.Wait}
	case f.Cancel != nil:
		return CancelAttempt{Attempt: f.Cancel.thaw()}
	}
	return nil
}

func freezeAttemptID(id AttemptID) frozenAttemptID {
	return frozenAttemptID{ID: id.Message, Try: id.Attempt}
}

func (f frozenAttemptID) thaw() AttemptID { return AttemptID{Message: f.ID, Attempt: f.Try} }

func freezeSnapshot(s *Snapshot) *frozenSnapshot {
	f := &frozenSnapshot{ListVersion: s.ListVersion, Rests: s.BackoffUntil, Memory: freezeMemory(s.Dispatcher)}
	for _, t := range s.Endpoints {
		f.Endpoints = append(f.Endpoints, frozenTarget{
			ID:     t.ID,
			Addr:   t.Addr,
			Zone:   t.Zone,
			Kind:   t.Kind,
			Cell:   t.Cell,
			State:  t.State,
			Weight: t.Weight,
		})
	}
	for _, l := range s.InFlight {
		f.Flights = append(f.Flights, frozenFlight{
			ID:       freezeAttemptID(l.ID),
			Call:     l.Call,
			Endpoint: uint32(l.Endpoint),
			At:       l.SentAt,
			Timeout:  l.Timeout,
		})
	}
	for _, c := range s.Connections {
		f.Connections = append(f.Connections, c.Address)
	}
	return f
}

func (f *frozenSnapshot) thaw() *Snapshot {
	s := &Snapshot{ListVersion: f.ListVersion, BackoffUntil: f.Rests, Dispatcher: f.Memory.thaw()}
	for _, t := range f.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointlist.Endpoint{
			ID:     t.ID,
			Addr:   t.Addr,
			Zone:   t.Zone,
			Kind:   t.Kind,
			Cell:   t.Cell,
			State:  t.State,
			Weight: t.Weight,
		})
	}
	for _, l := range f.Flights {
		s.InFlight = append(s.InFlight, InFlightAttempt{
			ID:       l.ID.thaw(),
			Call:     l.Call,
			Endpoint: dispatch.EndpointID(l.Endpoint),
			SentAt:   l.At,
			Timeout:  l.Timeout,
		})
	}
	for _, address := range f.Connections {
		s.Connections = append(s.Connections, PassedConnection{Address: address})
	}
	return s
}

// frozenOutcomes gives each outcome's number on the wire.
var frozenOutcomes = [...]dispatch.Outcome{
	0: dispatch.Served,
	1: dispatch.Errored,
	2: dispatch.Rejected,
	3: dispatch.TimedOut,
	4: dispatch.ConnectFailed,
	5: dispatch.ConnectionBroken,
	6: dispatch.Cancelled,
	7: dispatch.NotSent,
	8: dispatch.NotStarted,
}

func freezeOutcome(e dispatch.AttemptResult) frozenOutcome {
	f := frozenOutcome{
		Message:  uint64(e.Message),
		Attempt:  e.Attempt,
		Endpoint: uint32(e.Endpoint),
		Outcome:  uint8(e.Outcome),
		Elapsed:  e.Elapsed,
		Idle:     e.ConnectionIdle,
		Over:     e.Final,
		Wait:     e.RetryAfter,
		Reported: e.HasLoadReport,
		Left:     e.QuotaLeft,
		Limit:    e.RateLimit,
	}
	for number, outcome := range frozenOutcomes {
		if outcome == e.Outcome {
			f.Outcome = uint8(number)
		}
	}
	return f
}

func (f frozenOutcome) thaw() dispatch.AttemptResult {
	e := dispatch.AttemptResult{
		Message:        dispatch.MessageID(f.Message),
		Attempt:        f.Attempt,
		Endpoint:       dispatch.EndpointID(f.Endpoint),
		Outcome:        dispatch.Outcome(f.Outcome),
		Elapsed:        f.Elapsed,
		ConnectionIdle: f.Idle,
		Final:          f.Over,
		RetryAfter:     f.Wait,
		HasLoadReport:  f.Reported,
		QuotaLeft:      f.Left,
		RateLimit:      f.Limit,
	}
	if int(f.Outcome) < len(frozenOutcomes) {
		e.Outcome = frozenOutcomes[f.Outcome]
	}
	return e
}

func freezeRecord(r journal.Record) frozenRecord {
	f := frozenRecord{
		Op:       string(r.Kind),
		ID:       r.ID,
		Key:      r.Key,
		Class:    r.Class,
		Tenant:   r.Tenant,
		Dest:     r.Destination,
		Deadline: r.Deadline,
		Body:     r.Body,
	}
	if r.Rules != nil {
		f.Rules = &frozenRules{
			Effect:    uint8(r.Rules.Effect),
			InZone:    r.Rules.KeyScopedToZone,
			Ordered:   r.Rules.Ordered,
			Attempts:  r.Rules.MaxAttempts,
			Aim:       r.Rules.LatencyObjective,
			Deadline:  r.Rules.Deadline,
			Window:    r.Rules.IdempotencyWindow,
			Worth:     r.Rules.PriorityWeight,
			LateWorth: r.Rules.LateWeight,
		}
	}
	for _, t := range r.Attempts {
		f.Tries = append(f.Tries, frozenTry{At: t.SentAt, Endpoint: t.Endpoint, Zone: t.Zone, Never: t.NeverRan})
	}
	return f
}

func (f frozenRecord) thaw() journal.Record {
	r := journal.Record{
		Kind:        journal.RecordKind(f.Op),
		ID:          f.ID,
		Key:         f.Key,
		Class:       f.Class,
		Tenant:      f.Tenant,
		Destination: f.Dest,
		Deadline:    f.Deadline,
		Body:        f.Body,
	}
	if f.Rules != nil {
		r.Rules = &journal.Rules{
			Effect:            dispatch.Effect(f.Rules.Effect),
			KeyScopedToZone:   f.Rules.InZone,
			Ordered:           f.Rules.Ordered,
			MaxAttempts:       f.Rules.Attempts,
			LatencyObjective:  f.Rules.Aim,
			Deadline:          f.Rules.Deadline,
			IdempotencyWindow: f.Rules.Window,
			PriorityWeight:    f.Rules.Worth,
			LateWeight:        f.Rules.LateWorth,
		}
	}
	for _, t := range f.Tries {
		r.Attempts = append(r.Attempts, journal.Attempt{
			SentAt:   t.At,
			Endpoint: t.Endpoint,
			Zone:     t.Zone,
			NeverRan: t.Never,
		})
	}
	return r
}
