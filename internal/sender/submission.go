package sender

import (
	"net/http"
	"strings"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// acceptSubmission appends a message to the journal before the dispatcher sees it. It returns nil if the message is
// rejected or known already. A rejected message has not been sent, so its client may submit it again.
func (s *Sender) acceptSubmission(sub ingress.Submission) dispatch.Event {
	if s.journal.Knows(sub.ID) {
		s.joinKnownMessage(sub)
		return nil
	}
	if sub.IsAbandoned() { // the client does not hear that it is accepted, and may hand it in again
		s.rejectSubmission(sub, "the client has left")
		return nil
	}
	if s.dispatchStopped {
		s.rejectSubmission(sub, "shutting down")
		return nil
	}
	// The settings may have changed since the request was read, and a forwarded request has only the name of its class.
	if sub.ClassIndex = config.IndexOf(s.config.Classes, sub.Class, -1); sub.ClassIndex < 0 {
		sub.Responses <- ingress.Response{Status: http.StatusBadRequest, Text: "X-Class is not among the settings"}
		return nil
	}
	sub.TenantIndex = config.IndexOf(s.config.Tenants, sub.Tenant, -1)
	if limit := s.config.Settings.MaxPendingMessages; limit > 0 && s.messages.pending >= limit {
		s.rejectSubmission(sub, "all room for messages is taken")
		return nil
	}
	sub.Rules = journal.NewRules(s.config.Settings.Classes[sub.ClassIndex], s.config.Settings.MaxAttempts)
	stored, err := s.journal.Accept(sub.Record)
	if err != nil {
		s.rejectSubmission(sub, "no room to keep the message")
		return nil
	}
	s.trace("message accepted", sub.ID, "class", sub.Class, "destination", sub.Destination,
		"remaining", sub.Deadline-s.clock.Now())
	return dispatch.Message{
		ID:          s.messages.add(stored, sub.Responses).number,
		Class:       sub.ClassIndex,
		Tenant:      sub.TenantIndex,
		Destination: dispatch.DestinationID(sub.Destination),
		Deadline:    sub.Deadline,
		Rules:       sub.Rules.ForDispatcher(),
	}
}

// joinKnownMessage answers a submission whose message is known already. The submission is accepted even when new
// messages are rejected, because its message is delivered in any case.
func (s *Sender) joinKnownMessage(sub ingress.Submission) {
	if m := s.messages.byID[sub.ID]; m != nil && m.clients != nil {
		m.clients = append(m.clients, sub.Responses) // the first submission has no response yet
		return
	}
	sub.Responses <- ingress.Response{Status: http.StatusAccepted}
}

// rejectSubmission answers 503 and counts the reason under its text, with underscores for spaces.
func (s *Sender) rejectSubmission(sub ingress.Submission, reason string) {
	s.metrics.CountReason(metrics.ReasonRejected, strings.ReplaceAll(reason, " ", "_"))
	s.trace("message rejected", sub.ID, "reason", reason)
	s.declineSubmission(sub, reason)
}

// declineSubmission answers 503 with a reason.
func (s *Sender) declineSubmission(sub ingress.Submission, reason string) {
	s.metrics.MessageDeclined(sub.Class)
	sub.Responses <- ingress.Response{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: s.config.Settings.MaxRetryAfter,
		Text:       reason,
	}
}
