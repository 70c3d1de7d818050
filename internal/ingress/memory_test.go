package ingress

import (
	"errors"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// acquireLater calls acquire on a goroutine, and waits until it has its bytes or waits for them.
func acquireLater(t *testing.T, b *memoryBudget, bytes int64, abandoned <-chan struct{}) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	waiting := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.waiters)
	}
	before := waiting()
	go func() { done <- b.acquire(bytes, abandoned, time.Now().Add(st.Timeout)) }()
	for until := time.Now().Add(st.Timeout); waiting() == before && len(done) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the request neither gets its memory nor waits for it")
		}
	}
	return done
}

// Guards against requests that hold more memory together than the budget, that wait for ever, or that are overtaken
// again and again by smaller ones: they get their bytes in order, and one that gives up holds up none of the others.
func TestMemoryIsGrantedInOrderWithinTheBudget(t *testing.T) {
	t.Parallel()
	b := newMemoryBudget(100)
	if err := b.acquire(70, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	abandoned := make(chan struct{})
	gone := acquireLater(t, b, 90, abandoned)
	large := acquireLater(t, b, 80, nil)
	small := acquireLater(t, b, 10, nil)
	if missing := b.shortage(); missing != 60 {
		t.Errorf("%d bytes are missing, want 60", missing)
	}
	close(abandoned)
	if err := st.Receive(t, gone); !errors.Is(err, errNoMemory) {
		t.Errorf("the request that gives up gets %v", err)
	}
	if len(large) > 0 || len(small) > 0 {
		t.Error("memory is granted that is not free, or out of order")
	}
	b.release(70)
	for _, done := range []<-chan error{large, small} {
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	}
	if b.used != 90 {
		t.Errorf("%d bytes are in use, want 90", b.used)
	}
}

// Guards against a lower limit that is not reached, as nobody is asked to release what exceeds it.
func TestShortageIsReportedUntilItEnds(t *testing.T) {
	t.Parallel()
	b := newMemoryBudget(100)
	reports := make(chan struct{}, 1000)
	b.onShortage = func() { reports <- struct{}{} }
	if err := b.acquire(80, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	b.setLimit(50)
	for range 3 {
		st.Receive(t, reports)
	}
	b.release(40)
	time.Sleep(2 * EvictionGrace)
	for len(reports) > 0 {
		<-reports
	}
	time.Sleep(3 * EvictionGrace)
	if len(reports) > 0 {
		t.Error("a shortage is reported although the limit is kept")
	}
	if err := b.acquire(20, nil, time.Now().Add(time.Millisecond)); !errors.Is(err, errNoMemory) {
		t.Errorf("memory above the lower limit: %v", err)
	}
}
