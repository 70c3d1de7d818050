package handover

// Translation of packets to and from the wire format, which frozen.go defines.

import (
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

func (h Hello) toWire() frozenPacket {
	return frozenPacket{Hello: &frozenHello{
		Version:     h.Version,
		Connections: h.InheritsConnections,
		Share:       h.KeepsShare,
	}}
}

func (s *Snapshot) toWire() frozenPacket {
	return frozenPacket{Estate: snapshotToWire(s)}
}

func (r ForwardedRequest) toWire() frozenPacket {
	return frozenPacket{Submit: &frozenRequest{Seq: r.Sequence, Record: recordToWire(r.Record)}}
}

func (r ForwardedResponse) toWire() frozenPacket {
	return frozenPacket{Answer: &frozenAnswer{Seq: r.Sequence, Status: r.Status, Retry: r.RetryAfter, Text: r.Text}}
}

func (r AttemptReport) toWire() frozenPacket {
	return frozenPacket{Ended: &frozenAttemptEnd{Flight: attemptIDToWire(r.Attempt), End: outcomeToWire(r.Result)}}
}

func (r RetryAfterReport) toWire() frozenPacket {
	return frozenPacket{Wait: &frozenWait{Endpoint: r.Endpoint, Wait: r.RetryAfter}}
}

func (c CancelAttempt) toWire() frozenPacket {
	id := attemptIDToWire(c.Attempt)
	return frozenPacket{Cancel: &id}
}

// fromWire translates a packet from the wire format. It returns nil if this release does not know the packet's type.
func (f frozenPacket) fromWire() Packet {
	switch {
	case f.Hello != nil:
		return Hello{
			Version:             f.Hello.Version,
			InheritsConnections: f.Hello.Connections,
			KeepsShare:          f.Hello.Share,
		}
	case f.Estate != nil:
		return f.Estate.fromWire()
	case f.Submit != nil:
		return ForwardedRequest{Sequence: f.Submit.Seq, Record: f.Submit.Record.fromWire()}
	case f.Answer != nil:
		return ForwardedResponse{
			Sequence:   f.Answer.Seq,
			Status:     f.Answer.Status,
			RetryAfter: f.Answer.Retry,
			Text:       f.Answer.Text,
		}
	case f.Ended != nil:
		return AttemptReport{Attempt: f.Ended.Flight.fromWire(), Result: f.Ended.End.fromWire()}
	case f.Wait != nil:
		return RetryAfterReport{Endpoint: f.Wait.Endpoint, RetryAfter: f.Wait.Wait}
	case f.Cancel != nil:
		return CancelAttempt{Attempt: f.Cancel.fromWire()}
	}
	return nil
}

func attemptIDToWire(id AttemptID) frozenAttemptID {
	return frozenAttemptID{ID: id.Message, Try: id.Attempt}
}

func (f frozenAttemptID) fromWire() AttemptID { return AttemptID{Message: f.ID, Attempt: f.Try} }

func snapshotToWire(s *Snapshot) *frozenSnapshot {
	f := &frozenSnapshot{
		ListVersion: s.ListVersion,
		Rests:       s.BackoffUntil,
		Memory:      dispatcherToWire(s.Dispatcher),
		Share:       s.KeepsShare,
	}
	for _, e := range s.Endpoints {
		f.Endpoints = append(f.Endpoints, frozenTarget{
			ID:     e.ID,
			Addr:   e.Addr,
			Zone:   e.Zone,
			Kind:   e.Kind,
			Cell:   e.Cell,
			State:  e.State,
			Weight: e.Weight,
		})
	}
	for _, attempt := range s.InFlight {
		f.Flights = append(f.Flights, frozenFlight{
			ID:       attemptIDToWire(attempt.ID),
			Call:     attempt.Call,
			Endpoint: uint32(attempt.Endpoint),
			At:       attempt.SentAt,
			Timeout:  attempt.Timeout,
		})
	}
	for _, c := range s.Connections {
		f.Connections = append(f.Connections, c.Address)
	}
	return f
}

func (f *frozenSnapshot) fromWire() *Snapshot {
	s := &Snapshot{
		ListVersion:  f.ListVersion,
		BackoffUntil: f.Rests,
		Dispatcher:   f.Memory.fromWire(),
		KeepsShare:   f.Share,
	}
	for _, e := range f.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointlist.Endpoint{
			ID:     e.ID,
			Addr:   e.Addr,
			Zone:   e.Zone,
			Kind:   e.Kind,
			Cell:   e.Cell,
			State:  e.State,
			Weight: e.Weight,
		})
	}
	for _, attempt := range f.Flights {
		s.InFlight = append(s.InFlight, InFlightAttempt{
			ID:       attempt.ID.fromWire(),
			Call:     attempt.Call,
			Endpoint: dispatch.EndpointID(attempt.Endpoint),
			SentAt:   attempt.At,
			Timeout:  attempt.Timeout,
		})
	}
	for _, address := range f.Connections {
		s.Connections = append(s.Connections, PassedConnection{Address: address})
	}
	return s
}

// outcomesByNumber maps the numbers on the wire to the outcomes.
var outcomesByNumber = [...]dispatch.Outcome{
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

func outcomeToWire(result dispatch.AttemptResult) frozenOutcome {
	f := frozenOutcome{
		Message:  uint64(result.Message),
		Attempt:  result.Attempt,
		Endpoint: uint32(result.Endpoint),
		Outcome:  uint8(result.Outcome),
		Elapsed:  result.Elapsed,
		Idle:     result.ConnectionIdle,
		Over:     result.Final,
		Wait:     result.RetryAfter,
		Reported: result.HasLoadReport,
		Left:     result.QuotaLeft,
		Limit:    result.RateLimit,
	}
	for number, outcome := range outcomesByNumber {
		if outcome == result.Outcome {
			f.Outcome = uint8(number)
		}
	}
	return f
}

func (f frozenOutcome) fromWire() dispatch.AttemptResult {
	result := dispatch.AttemptResult{
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
	if int(f.Outcome) < len(outcomesByNumber) {
		result.Outcome = outcomesByNumber[f.Outcome]
	}
	return result
}

func recordToWire(r journal.Record) frozenRecord {
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
	for _, a := range r.Attempts {
		f.Tries = append(f.Tries, frozenTry{At: a.SentAt, Endpoint: a.Endpoint, Zone: a.Zone, Never: a.NeverRan})
	}
	return f
}

func (f frozenRecord) fromWire() journal.Record {
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
	for _, a := range f.Tries {
		r.Attempts = append(r.Attempts, journal.Attempt{
			SentAt:   a.At,
			Endpoint: a.Endpoint,
			Zone:     a.Zone,
			NeverRan: a.Never,
		})
	}
	return r
}
