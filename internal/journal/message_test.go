package journal

import (
	"strings"
	"testing"
)

// Guards against a message that is sent again although an earlier attempt may have run: if the records of earlier
// attempts are missing, they count as unknown attempts. A damaged index must not add an unlimited number of them.
func TestAttemptsBeforeAnIntactOneMayHaveRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		index, want int
	}{
		"the first attempt":     {index: 0, want: 1},
		"two attempts missing":  {index: 2, want: 3},
		"an index out of range": {index: 1 << 40, want: maxReplayedAttempts + 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &Message{}
			started := &Attempt{SentAt: 1, Endpoint: "s"}
			m.apply(&Record{Kind: KindAttemptStarted, AttemptIndex: c.index, StartedAttempt: started})
			if len(m.Attempts) != c.want || m.Attempts[c.want-1].SentAt != 1 {
				t.Fatalf("%d attempts, want %d", len(m.Attempts), c.want)
			}
			if first, mayHaveRun := m.FirstPossibleRun(); !mayHaveRun || (first.SentAt == 1) != (c.want == 1) {
				t.Errorf("the first attempt that may have run is %+v, found %v", first, mayHaveRun)
			}
		})
	}
}

// Guards against records of attempts that grow with the length of an endpoint's name.
func TestStoredEndpointNamesAreTruncated(t *testing.T) {
	t.Parallel()
	j := openJournal(t, t.TempDir(), 1<<20)
	m := acceptMessage(t, j, "a")
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: strings.Repeat("s", MaxNameLength)})
	if got := m.Attempts[0].Endpoint; got != strings.Repeat("s", maxEndpointLength) {
		t.Errorf("the stored name of the endpoint is %q", got)
	}
}
