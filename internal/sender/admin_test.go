package sender

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/admin"
	"onyxdyke.example/onyxdyke/internal/config"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

func TestMetricsCountMessageEnds(t *testing.T) {
	t.Parallel()
	good, bad, silent := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.ResetConnection),
		st.NewEndpoint(t, st.NeverAnswer)
	agent := st.NewAgent(t, good.Addr, bad.Addr, silent.Addr)
	admin := freeAddress(t)
	addr := startSender(t, agent, func(c *config.Config) { c.Admin = admin; c.Settings.MaxPendingMessages = 2 })
	awaitHealth(t, admin, "ok\n") // it listens shortly before it is ready
	awaitMetrics(t, admin, map[string]int{
		"succeeded.safe": 0, "declined.safe": 0, "aborted.safe": 0, "succeeded.unsafe": 0,
		"forwards": 0, "outstanding": 0, "discovered": 3, "ejected": 0, "sighup_applied": 0, "sighup_rejected": 0})
	st.Submit(t, addr, "a", "safe", 0, 5*time.Second)
	awaitMetrics(t, admin, map[string]int{"succeeded.safe": 1, "forwards": 1, "outstanding": 0})
	st.Submit(t, addr, "b", "unsafe", 1, 5*time.Second) // it may have run before the reset: it is not retried
	awaitMetrics(t, admin, map[string]int{"succeeded.unsafe": 0, "aborted.unsafe": 1, "forwards": 2, "outstanding": 0})
	st.Submit(t, addr, "c", "unsafe", 2, 15*time.Second) // from here on MaxPendingMessages is reached
	if resp, _ := do(t, st.Request(t, addr, "d", "keyed", 0, 5*time.Second, "x")); resp.StatusCode != 503 {
		t.Errorf("a message above MaxPendingMessages is answered %s, want 503", resp.Status)
	}
	awaitMetrics(t, admin, map[string]int{"declined.keyed": 1, "declined.unsafe": 0, "outstanding": 1, "forwards": 3})
	agent.UpdateList(st.ListEntry("s-1", bad.Addr, 1, "DELETED"))
	awaitMetrics(t, admin, map[string]int{"discovered": 2})
}

func TestAdminCommands(t *testing.T) {
	t.Parallel()
	addr := freeAddress(t)
	startSender(t, st.NewAgent(t), func(c *config.Config) { c.Admin = addr })
	awaitHealth(t, addr, "ok\n") // it listens shortly before it is ready
	for command, want := range map[string]string{
		"HEALTH\r\n":    "ok\n",
		"health\n":      "fail ",
		"\n":            "fail ",
		"HEALTH DUMP\n": "fail ",
		strings.Repeat("x", admin.MaxLine) + "\n": "fail ",
		strings.Repeat("x", 3*admin.MaxLine):      "fail ",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n":       "fail ",
		"\x00\xff\n":                              "fail ",
	} {
		if reply := adminCommand(t, addr, command); !strings.HasPrefix(reply, want) || strings.Count(reply, "\n") != 1 {
			t.Errorf("the admin command %q is answered %q", command, reply)
		}
	}
}

// Guards against admin commands that get no reply while other connections send nothing or half a command, however many
// these are.
func TestSilentAdminConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	admin := freeAddress(t)
	startSender(t, st.NewAgent(t), func(c *config.Config) { c.Admin = admin })
	adminCommand(t, admin, "HEALTH\n")
	for n := range 3 * config.AdminConnectionLimit {
		c, err := net.Dial("tcp", admin)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 0 {
			_, _ = io.WriteString(c, "HEA")
		}
	}
	if reply := adminCommand(t, admin, "HEALTH\n"); reply != "ok\n" {
		t.Errorf("HEALTH is answered %q, want ok", reply)
	}
}
