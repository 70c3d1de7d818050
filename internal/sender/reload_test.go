package sender

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// reloadable is a running sender whose configuration can be replaced.
type reloadable struct {
	*Sender
	addr, admin, file string
	text              map[string]any
	stop              func()
}

// startReloadable starts a sender with a configuration file. edit may change its text.
func startReloadable(t *testing.T, p *st.Agent, state string, edit func(text map[string]any)) *reloadable {
	t.Helper()
	r := &reloadable{text: st.Config(p, state), admin: freeAddress(t), file: filepath.Join(t.TempDir(), "config.json")}
	if edit != nil {
		edit(r.text)
	}
	r.write(t, r.text)
	c, err := config.Load(context.Background(), slog.New(slog.DiscardHandler), os.ReadFile, r.getenv)
	if err != nil {
		t.Fatal(err)
	}
	r.Sender = newTestSender(t, p, func(own *config.Config) { *own = *c; own.Admin = r.admin })
	addr := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- r.Run(ctx, func() (net.Listener, error) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			addr <- l.Addr().String()
			return l, err
		})
	}()
	r.addr = st.Receive(t, addr)
	stopped := false
	r.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			if err := st.Receive(t, done); err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(r.stop)
	return r
}

func (r *reloadable) getenv(name string) string {
	if name == "EDGE_CONFIG" {
		return r.file
	}
	return ""
}

func (r *reloadable) write(t *testing.T, text any) {
	t.Helper()
	raw, ok := text.(string)
	if !ok {
		b, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		raw = string(b)
	}
	if err := os.WriteFile(r.file, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
}

// services is the list of classes in a configuration's text.
func services(text map[string]any) []any {
	return text["settings"].(map[string]any)["services"].([]any)
}

// service is a class of the test's configuration, edited.
func service(name, effect string) map[string]any {
	return map[string]any{"name": name, "slo": 2500.0, "giveUp": 20000.0, "effect": effect, "dedupWindow": 7500.0,
		"dedupScope": "all", "worth": 1.0, "lateValue": 0.5}
}

// Nothing of an invalid file is applied, not even its valid parts; it is counted, and the next valid one is applied.
func TestInvalidConfigurationIsRejectedAsAWhole(t *testing.T) {
	t.Parallel()
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, good.Addr)
	r := startReloadable(t, p, t.TempDir(), nil)
	fresh := func(edit func(text map[string]any)) map[string]any {
		text := st.Config(p, "")
		set := text["settings"].(map[string]any)
		set["services"] = append(services(text), service("fresh", "read_like"))
		edit(text)
		return text
	}
	settings := func(text map[string]any) map[string]any { return text["settings"].(map[string]any) }
	limits := func(text map[string]any) map[string]any { return settings(text)["limits"].(map[string]any) }
	raw, err := json.Marshal(fresh(func(map[string]any) {}))
	if err != nil {
		t.Fatal(err)
	}
	broken := map[string]any{
		"empty":           "",
		"cut":             string(raw[:len(raw)*2/3]),
		"two":             string(raw) + string(raw),
		"a list":          "[]",
		"no settings":     fresh(func(c map[string]any) { delete(c, "settings") }),
		"no discovery":    fresh(func(c map[string]any) { delete(c, "discovery") }),
		"no limits":       fresh(func(c map[string]any) { delete(settings(c), "limits") }),
		"no attempts":     fresh(func(c map[string]any) { delete(limits(c), "maxAttempts") }),
		"attempts 0":      fresh(func(c map[string]any) { limits(c)["maxAttempts"] = 0 }),
		"attempts -1":     fresh(func(c map[string]any) { limits(c)["maxAttempts"] = -1 }),
		"attempts a word": fresh(func(c map[string]any) { limits(c)["maxAttempts"] = "many" }),
		"no classes":      fresh(func(c map[string]any) { settings(c)["services"] = []any{} }),
		"no deadline":     fresh(func(c map[string]any) { delete(services(c)[3].(map[string]any), "giveUp") }),
		"deadline 0":      fresh(func(c map[string]any) { services(c)[3].(map[string]any)["giveUp"] = 0.0 }),
		"deadline -5":     fresh(func(c map[string]any) { services(c)[0].(map[string]any)["giveUp"] = -5 }),
		"deadline a word": fresh(func(c map[string]any) { services(c)[3].(map[string]any)["giveUp"] = "soon" }),
		"deadline null":   fresh(func(c map[string]any) { services(c)[3].(map[string]any)["giveUp"] = nil }),
		"no effect":       fresh(func(c map[string]any) { delete(services(c)[1].(map[string]any), "effect") }),
		"odd effect":      fresh(func(c map[string]any) { services(c)[3].(map[string]any)["effect"] = "sometimes" }),
		"a name twice":    fresh(func(c map[string]any) { services(c)[3].(map[string]any)["name"] = "safe" }),
		"no senders":      fresh(func(c map[string]any) { settings(c)["balancers"] = 0 }),
		"senders -80":     fresh(func(c map[string]any) { settings(c)["balancers"] = -80 }),
		"senders endless": fresh(func(c map[string]any) { settings(c)["balancers"] = 1e9 }),
		"half a sender":   fresh(func(c map[string]any) { settings(c)["balancers"] = 2.5 }),
		"number -1":       fresh(func(c map[string]any) { settings(c)["slotNo"] = -1 }),
		"number too high": fresh(func(c map[string]any) { settings(c)["balancers"], settings(c)["slotNo"] = 80, 80 }),
		"number a word":   fresh(func(c map[string]any) { settings(c)["slotNo"] = "first" }),
		"no name":         fresh(func(c map[string]any) { delete(services(c)[3].(map[string]any), "name") }),
	}
	n := 0
	for name, text := range broken {
		r.write(t, text)
		err := r.Reload(context.Background(), r.getenv)
		if err == nil {
			t.Errorf("%s: applied", name)
			continue
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %q is no plain line", name, err)
		}
		n++
	}
	awaitMetrics(t, r.admin, map[string]int{"sighup_applied": 0, "sighup_rejected": n})
	if resp, _ := do(t, st.Request(t, r.addr, "m", "fresh", 0, 5*time.Second, "x")); resp.StatusCode != 400 {
		t.Errorf("a class of a broken file: %s", resp.Status)
	}
	if _, shown := readMetrics(t, r.admin)["succeeded.fresh"]; shown {
		t.Error("a class of a broken file has figures")
	}
	r.write(t, string(raw))
	if err := r.Reload(context.Background(), r.getenv); err != nil {
		t.Fatal(err)
	}
	awaitMetrics(t, r.admin, map[string]int{
		"sighup_applied": 1, "sighup_rejected": n, "succeeded.fresh": 0, "aborted.fresh": 0,
	})
	st.Submit(t, r.addr, "m", "fresh", 0, 5*time.Second)
	awaitMetrics(t, r.admin, map[string]int{"succeeded.fresh": 1})
}

// Messages keep the effect and the attempts under which they were accepted, in this process and in the next one; later
// ones have the new rules, under the same class name. A dropped class accepts no more, and its messages end.
func TestPendingMessagesKeepTheirRulesAcrossAReload(t *testing.T) {
	for name, restart := range map[string]bool{"same process": false, "next process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			open, later := make(chan struct{}), make(chan struct{})
			at := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
				if c.Conn == 1 { // what is in flight across the change may have run
					<-open
					return st.Reset(c, conn)
				}
				return st.Status(200)(c, conn)
			})
			gone := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool { <-later; return st.Reset(c, conn) })
			p := st.NewAgent(t, at.Addr, gone.Addr)
			state := t.TempDir()
			r := startReloadable(t, p, state, nil)
			st.Submit(t, r.addr, "old", "safe", 0, 15*time.Second)
			at.Next(t)
			st.Submit(t, r.addr, "dropped", "unsafe", 1, 15*time.Second)
			gone.Next(t)
			change := func(text map[string]any) {
				set := text["settings"].(map[string]any)
				set["services"] = []any{service("safe", "non_idempotent"), service("keyed", "idempotency_key")}
				set["limits"].(map[string]any)["maxAttempts"] = 1
			}
			if restart {
				r.stop()
				close(open)
				r = startReloadable(t, p, state, change)
			} else {
				change(r.text)
				r.write(t, r.text)
				if err := r.Reload(context.Background(), r.getenv); err != nil {
					t.Fatal(err)
				}
				awaitMetrics(t, r.admin, map[string]int{"sighup_applied": 1, "outstanding": 2})
				close(open)
			}
			close(later)
			if c := at.Next(t); c.ID != "old" {
				t.Errorf("the endpoint got %s", c.ID)
			}
			if n := st.Receive(t, p.Notices); n.Message != "dropped" || n.Outcome != "given_up" {
				t.Errorf("notice %+v", n)
			}
			awaitMetrics(t, r.admin, map[string]int{"succeeded.safe": 1, "aborted.unsafe": 1, "outstanding": 0})
			resp, _ := do(t, st.Request(t, r.addr, "m", "unsafe", 0, 5*time.Second, "x"))
			if resp.StatusCode != 400 {
				t.Errorf("a dropped class: %s", resp.Status)
			}
			st.Submit(t, r.addr, "new", "safe", 1, 15*time.Second)
			gone.Next(t)
			if n := st.Receive(t, p.Notices); n.Message != "new" || n.Outcome != "given_up" {
				t.Errorf("under the new rules: %+v", n)
			}
		})
	}
}
