package journal

import (
	"strings"
	"testing"
)

// Where the records of earlier attempts are lost, those may have run.
func TestAttemptsBeforeAnIntactOneMayHaveRun(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		index, want int
	}{
		"the first attempt":    {index: 0, want: 1},
		"two attempts lost":    {index: 2, want: 3},
		"an index that is off": {index: 1 << 40, want: maxReplayedAttempts + 1},
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
				t.Errorf("the first one that may have run is %+v, %v", first, mayHaveRun)
			}
		})
	}
}

func TestStoredEndpointNamesAreBounded(t *testing.T) {
	t.Parallel()
	j := openTest(t, t.TempDir(), 1<<20)
	m := acceptTest(t, j, "a")
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: strings.Repeat("s", MaxNameLength)})
	if got := m.Attempts[0].Endpoint; got != strings.Repeat("s", maxEndpointLength) {
		t.Errorf("%q", got)
	}
}
