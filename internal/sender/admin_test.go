package sender

import (
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/admin"
	"onyxdyke.example/onyxdyke/internal/config"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// freeAddr is an address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// ask makes one call at the operators' address and returns the whole reply.
func ask(t *testing.T, addr, call string) string {
	t.Helper()
	var c net.Conn
	var err error
	for end := time.Now().Add(st.Wait); ; time.Sleep(5 * time.Millisecond) {
		if c, err = net.Dial("tcp", addr); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(st.Wait))
	if _, err := io.WriteString(c, call); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", call, err)
	}
	return string(reply)
}

// readFigures reads the figures once.
func readFigures(t *testing.T, addr string) map[string]int {
	t.Helper()
	text, whole := strings.CutSuffix(ask(t, addr, "DUMP\n"), "eof\n")
	if !whole {
		t.Fatalf("the figures have no end: %q", text)
	}
	got := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		short, ok := strings.CutPrefix(name, "edge_edge.")
		if err != nil || !ok {
			t.Fatalf("line %q", line)
		}
		got[short] = n
	}
	return got
}

// wantFigures waits until the figures named are as wanted.
func wantFigures(t *testing.T, addr string, want map[string]int) {
	t.Helper()
	var got map[string]int
	for end := time.Now().Add(st.Wait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		got = readFigures(t, addr)
		maps.DeleteFunc(got, func(name string, _ int) bool { _, asked := want[name]; return !asked })
		if maps.Equal(got, want) {
			return
		}
	}
	t.Fatalf("figures %v, want %v", got, want)
}

func TestFiguresCountEnds(t *testing.T) {
	t.Parallel()
	good, bad, silent := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Reset), st.NewEndpoint(t, st.Silent)
	p := st.NewPlatform(t, good.Addr, bad.Addr, silent.Addr)
	admin := freeAddr(t)
	addr := run(t, p, func(c *config.Config) { c.Admin = admin; c.Settings.MaxPendingMessages = 2 })
	waitHealth(t, admin, "ok\n") // its address is known a moment before it is ready
	wantFigures(t, admin, map[string]int{"succeeded.safe": 0, "declined.safe": 0, "aborted.safe": 0, "succeeded.unsafe": 0,
		"forwards": 0, "outstanding": 0, "discovered": 3, "ejected": 0, "sighup_applied": 0, "sighup_rejected": 0})
	st.HandIn(t, addr, "a", "safe", 0, 5*time.Second)
	wantFigures(t, admin, map[string]int{"succeeded.safe": 1, "forwards": 1, "outstanding": 0})
	st.HandIn(t, addr, "b", "unsafe", 1, 5*time.Second) // it may have run and may not be repeated
	wantFigures(t, admin, map[string]int{"succeeded.unsafe": 0, "aborted.unsafe": 1, "forwards": 2, "outstanding": 0})
	st.HandIn(t, addr, "c", "unsafe", 2, 15*time.Second) // beside it there is room for none
	if resp, _ := st.Do(t, st.Message(t, addr, "d", "keyed", 0, 5*time.Second, "x")); resp.StatusCode != 503 {
		t.Errorf("a message beyond the room is answered %s", resp.Status)
	}
	wantFigures(t, admin, map[string]int{"declined.keyed": 1, "declined.unsafe": 0, "outstanding": 1, "forwards": 3})
	p.Change(st.Target("s-1", bad.Addr, 1, "DELETED"))
	wantFigures(t, admin, map[string]int{"discovered": 2})
}

func TestAdminCalls(t *testing.T) {
	t.Parallel()
	addr := freeAddr(t)
	run(t, st.NewPlatform(t), func(c *config.Config) { c.Admin = addr })
	for call, want := range map[string]string{
		"HEALTH\r\n":    "ok\n",
		"health\n":      "fail ",
		"\n":            "fail ",
		"HEALTH DUMP\n": "fail ",
		strings.Repeat("x", admin.MaxLine) + "\n": "fail ",
		strings.Repeat("x", 3*admin.MaxLine):      "fail ",
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n":       "fail ",
		"\x00\xff\n":                              "fail ",
	} {
		if reply := ask(t, addr, call); !strings.HasPrefix(reply, want) || strings.Count(reply, "\n") != 1 {
			t.Errorf("%q is answered %q", call, reply)
		}
	}
}

// Callers that connect and say nothing, or half a call, keep no other from its answer, however many they are.
func TestSilentAdminCallersMakeRoom(t *testing.T) {
	t.Parallel()
	admin := freeAddr(t)
	run(t, st.NewPlatform(t), func(c *config.Config) { c.Admin = admin })
	ask(t, admin, "HEALTH\n")
	for n := range 3 * config.AdminConnectionLimit {
		c, err := net.Dial("tcp", admin)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if n%2 == 0 {
			io.WriteString(c, "HEA")
		}
	}
	if reply := ask(t, admin, "HEALTH\n"); reply != "ok\n" {
		t.Errorf("HEALTH: %q", reply)
	}
}
