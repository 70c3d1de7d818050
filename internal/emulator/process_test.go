package emulator

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// idleInstance starts a process that does nothing until the test ends.
func idleInstance(t *testing.T) instance {
	t.Helper()
	command := exec.Command("sleep", "60")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return instance{command: command, exited: make(chan struct{}), exitExpected: new(atomic.Bool)}
}

// isStopped reports whether a process is stopped by a signal (proc(5)).
func (i *instance) isStopped(t *testing.T) bool {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T")
}

// awaitStopped waits until a process is stopped, if want is true, or until it is not stopped. It fails the test if that
// takes longer than 5 s.
func (i *instance) awaitStopped(t *testing.T, want bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); i.isStopped(t) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("process %d: stopped %v, want %v", i.command.Process.Pid, !want, want)
		}
	}
}

// A process that is paused while it hands over to its successor continues after the pause. The failure: SIGCONT was
// sent to the process that was current at the end of the pause, so the predecessor stayed stopped (state T in /proc),
// did not react to SIGTERM, kept its connections, and had to be killed after the upgrade. It happened in the soak of
// seed 53008.
func TestPausedProcessContinuesAfterAnUpgrade(t *testing.T) {
	t.Parallel()
	old, next := idleInstance(t), idleInstance(t)
	p := &Process{instance: old}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Pause(100 * time.Millisecond)
	}()
	old.awaitStopped(t, true)
	p.mu.Lock()
	p.instance = next
	p.mu.Unlock()
	<-done
	old.awaitStopped(t, false)
	if next.isStopped(t) {
		t.Error("the pause stopped the successor")
	}
}
