package emulator

import (
	"bufio"
	"math"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMS     = 60_000
	latencyDigits    = 3       // significant digits of a latency in the histogram
	maxLogLine       = 1 << 20 // bytes
	counterPrefix    = "edge_edge."
	violationCounter = "violations." // prefix of the senders' counters of violations
)

// Report holds the outcome of a run.
type Report struct {
	Plan       []Fault
	Violations []Violation
	Counts     map[string]int
	Latency    *hdrhistogram.Histogram // in ms, from submission to delivery
}

// Quantile returns the latency, in milliseconds, that a share of the deliveries did not exceed.
func (report *Report) Quantile(share float64) int64 {
	return report.Latency.ValueAtQuantile(math.Min(100, share*100))
}

// report stops the senders, checks the run by the invariants and returns the report.
func (r *runner) report() *Report {
	end := r.history.Now()
	r.collectCounters()
	r.terminateAll()
	report := &Report{
		Plan:       r.plan,
		Violations: Check(r.history, r.conditions(end)),
		Latency:    hdrhistogram.New(1, maxLatencyMS, latencyDigits),
	}
	for _, err := range r.errors {
		report.Violations = append(report.Violations, Violation{Rule: ruleProcess, At: end, Detail: err})
	}
	report.Violations = append(report.Violations, r.loggedViolations(end)...)
	report.summarize(r.history)
	return report
}

// collectCounters adds the senders' own metrics to the history. It has to be called before the senders are stopped.
func (r *runner) collectCounters() {
	for _, p := range r.processes {
		metrics, err := p.Metrics()
		r.recordError(err)
		for name, n := range metrics {
			if counter, found := strings.CutPrefix(name, counterPrefix); found {
				r.history.AddCounter(counter, n)
			}
		}
	}
}

// terminateAll stops all senders at the same time.
func (r *runner) terminateAll() {
	var all sync.WaitGroup
	for _, p := range r.processes {
		all.Add(1)
		go func() {
			defer all.Done()
			r.recordError(p.Terminate())
		}()
	}
	all.Wait()
}

// conditions returns what the invariants need to know about the run in addition to its history.
func (r *runner) conditions(end time.Duration) RunConditions {
	conditions := RunConditions{
		Parameters:       r.parameters,
		Tolerance:        r.Tolerance,
		Outages:          r.outages(),
		End:              end,
		OutcomeUncertain: r.outcomeUncertain,
		Impaired:         r.impaired,
		Flooded:          r.flooded,
	}
	total := r.Rate * float64(r.Senders)
	for _, share := range r.trafficShares {
		conditions.Capacity = append(conditions.Capacity, capacityMultiple*share*total)
	}
	return conditions
}

// outages returns the spans of the faults after which a destination has to warm up.
func (r *runner) outages() []Outage {
	var list []Outage
	for _, f := range r.plan {
		switch f.Kind {
		case EndpointsHang, EndpointsFail, EndpointsUnavailable, EndpointsReset:
			list = append(list, Outage{Destination: f.Destination, From: f.From, Until: f.Until})
		}
	}
	return list
}

// isAffected reports whether a fault of one of the kinds affects a sender at a time.
func (r *runner) isAffected(sender int, at time.Duration, kinds ...FaultKind) bool {
	for _, f := range r.plan {
		if slices.Contains(kinds, f.Kind) && f.activeAt(at) && slices.Contains(f.Senders, sender) {
			return true
		}
	}
	return false
}

// outcomeUncertain reports whether, at a time, answers may not reach a sender or its disk rejects writes.
func (r *runner) outcomeUncertain(sender int, at time.Duration) bool {
	return r.isAffected(sender, at, DiskFull, DiskErrors, DiskTornWrites, LinksCut, LinksReset)
}

// impaired reports whether, at a time, faults of its machine prevent a sender from accepting or answering clients.
func (r *runner) impaired(sender int, at time.Duration) bool {
	return r.isAffected(sender, at, AcceptFails, DescriptorsExhausted, SendersPaused, ClientsFragmented)
}

// flooded reports whether, at a time, a connection flood prevents a sender from accepting new connections, or ended no
// longer than floodDrainTime before.
func (r *runner) flooded(sender int, at time.Duration) bool {
	return r.isAffected(sender, at, ConnectionFlood) || r.isAffected(sender, at-floodDrainTime, ConnectionFlood)
}

// violationLogLine matches the log line with which a sender's own invariant checker reports a violation. It has to be
// changed together with that log line: the senders' counters of violations are reported, but only these lines fail a
// run.
var violationLogLine = regexp.MustCompile(`msg="rule violated" rule=(\S+)`)

// loggedViolations returns the violations that the senders' own invariant checkers have logged. The stand-ins may not
// have observed them.
func (r *runner) loggedViolations(end time.Duration) []Violation {
	var found []Violation
	for _, p := range r.processes {
		lines, err := violationLines(p.logPath())
		if err != nil {
			continue // a sender that never started has no log; its failed start is a violation by itself
		}
		for _, line := range lines {
			rule := violationLogLine.FindStringSubmatch(line)[1]
			found = append(found, violationf(senderRulePrefix+rule, end, "sender %d: %s", p.Number, line))
		}
	}
	return found
}

// violationLines returns the lines of a log that report a violation.
func violationLines(path string) ([]string, error) {
	log, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	var lines []string
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if violationLogLine.MatchString(scanner.Text()) {
			lines = append(lines, scanner.Text())
		}
	}
	return lines, nil
}

// summarize fills in the report's counts and latencies from the history.
func (report *Report) summarize(h *History) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{
		"submissions": len(h.submissions),
		"calls":       len(h.attempts),
		"notices":     len(h.notices),
		"bad peers":   len(h.badPeers),
	}
	for _, s := range h.submissions {
		counts[s.outcome()]++
	}
	counts["delivered"] = report.recordLatencies(h)
	for _, n := range h.notices {
		counts["notice "+n.Outcome]++
	}
	for name, n := range h.counters {
		if strings.HasPrefix(name, violationCounter) && n > 0 {
			counts[name] = n
		}
	}
	for _, event := range h.incarnationEvents {
		counts["process "+string(event.Phase)]++
	}
	report.Counts = counts
}

// outcome returns the name under which the report counts a request.
func (s *Submission) outcome() string {
	switch {
	case s.isAccepted():
		return "accepted"
	case s.isRejected():
		return "rejected"
	case s.Status != 0:
		return "failed"
	case s.ConnectionClosed:
		return "closed"
	default:
		return "unanswered"
	}
}

// recordLatencies records the latency of each message's first delivery and returns the number of messages delivered.
func (report *Report) recordLatencies(h *History) int {
	delivered := map[string]bool{}
	for _, a := range h.attempts {
		s := h.submissions[a.ID]
		if !a.isDelivered() || s == nil || delivered[a.ID] {
			continue
		}
		delivered[a.ID] = true
		latency := min(maxLatencyMS, max(1, (a.EndedAt-s.SentAt).Milliseconds()))
		_ = report.Latency.RecordValue(latency) // cannot fail, as the value is in the histogram's range
	}
	return len(delivered)
}
