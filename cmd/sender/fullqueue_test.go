package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// fillQueue submits messages with bodies of a size until one is refused, and returns how many were accepted.
func fillQueue(t *testing.T, addr, prefix string, size int) (accepted int) {
	t.Helper()
	for {
		id := fmt.Sprintf("%s-%d", prefix, accepted)
		request := st.Request(t, addr, id, "safe", 1, time.Minute, strings.Repeat("q", size))
		if response, _ := st.SendRequest(t, request); response.StatusCode != http.StatusAccepted {
			return accepted
		}
		accepted++
	}
}

// Guards against a sender that exceeds its limits with a full queue: while it fills, when the next process reads it at
// its start, at a reload, in an upgrade and at a shutdown, all beside a crowd.
func TestFullQueueStaysWithinTheLimits(t *testing.T) {
	descriptorLimits := []int{1024}
	if os.Getenv(allCrowds) != "" {
		descriptorLimits = append(descriptorLimits, 256)
	}
	for _, descriptors := range descriptorLimits {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			limits := senderLimits{memoryMB: 32, descriptors: descriptors}
			sender := newLimitedSender(t, limits)
			sender.config["settings"].(map[string]any)["limits"].(map[string]any)["mostHeld"] = 5000
			first := sender.start(t)
			large := fillQueue(t, sender.addr, "large", 64<<10)
			small := fillQueue(t, sender.addr, "small", 10)
			t.Logf("%d large and %d small messages accepted", large, small)
			if large < 10 || small < 10 {
				t.Errorf("%d large and %d small messages were accepted", large, small)
			}
			_ = first.Process.Kill()
			_ = first.Wait()
			second := sender.start(t)
			crowd := startCrowd(sender.addr, descriptors, crowdKinds...)
			defer crowd.leave()
			time.Sleep(crowdTime)
			raw, err := os.ReadFile(second.config)
			if err != nil {
				t.Fatal(err)
			}
			second.reload(t, raw)
			third := sender.upgrade(t, second)
			time.Sleep(crowdTime)
			if err := third.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := third.Wait(); err != nil {
				t.Errorf("the process ends with %v", err)
			}
			sender.usage.stop()
			sender.usage.check(t, limits)
		})
	}
}
