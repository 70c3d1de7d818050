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

// startReloadable starts a sender with a configuration file and waits until it listens. edit changes the file's
// content; it may be nil.
func startReloadable(t *testing.T, agent *st.Agent, state string, edit func(text map[string]any)) *reloadable {
	t.Helper()
	r := &reloadable{
		text:  st.Config(agent, state),
		admin: freeAddress(t),
		file:  filepath.Join(t.TempDir(), "config.json"),
	}
	if edit != nil {
		edit(r.text)
	}
	r.write(t, r.text)
	c, err := config.Load(context.Background(), slog.New(slog.DiscardHandler), os.ReadFile, r.getenv)
	if err != nil {
		t.Fatal(err)
	}
	r.Sender = newTestSender(t, agent, func(own *config.Config) { *own = *c; own.Admin = r.admin })
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

// getenv returns an environment variable of the sender. Only EDGE_CONFIG is set, to the path of the configuration file.
func (r *reloadable) getenv(name string) string {
	if name == "EDGE_CONFIG" {
		return r.file
	}
	return ""
}

// write replaces the content of the configuration file: a string as it is, any other value as JSON.
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

// classesIn returns the classes in a configuration.
func classesIn(text map[string]any) []any {
	return text["settings"].(map[string]any)["services"].([]any)
}

// classEntry returns the settings of a class, as a configuration holds them.
func classEntry(name, effect string) map[string]any {
	return map[string]any{"name": name, "slo": 2500.0, "giveUp": 20000.0, "effect": effect, "dedupWindow": 7500.0,
		"dedupScope": "all", "worth": 1.0, "lateValue": 0.5}
}

// Guards against an invalid configuration file that is applied in part. Not even its valid parts are applied, the
// reload is counted as rejected, and the next valid file is applied.
func TestInvalidConfigurationIsRejectedAsAWhole(t *testing.T) {
	t.Parallel()
	good := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, good.Addr)
	r := startReloadable(t, agent, t.TempDir(), nil)
	fresh := func(edit func(text map[string]any)) map[string]any {
		text := st.Config(agent, "")
		set := text["settings"].(map[string]any)
		set["services"] = append(classesIn(text), classEntry("fresh", "read_like"))
		edit(text)
		return text
	}
	settings := func(text map[string]any) map[string]any { return text["settings"].(map[string]any) }
	limits := func(text map[string]any) map[string]any { return settings(text)["limits"].(map[string]any) }
	raw, err := json.Marshal(fresh(func(map[string]any) {}))
	if err != nil {
		t.Fatal(err)
	}
	invalid := map[string]any{
		"empty":            "",
		"cut":              string(raw[:len(raw)*2/3]),
		"two":              string(raw) + string(raw),
		"a list":           "[]",
		"no settings":      fresh(func(c map[string]any) { delete(c, "settings") }),
		"no discovery":     fresh(func(c map[string]any) { delete(c, "discovery") }),
		"no limits":        fresh(func(c map[string]any) { delete(settings(c), "limits") }),
		"no attempts":      fresh(func(c map[string]any) { delete(limits(c), "maxAttempts") }),
		"attempts 0":       fresh(func(c map[string]any) { limits(c)["maxAttempts"] = 0 }),
		"attempts -1":      fresh(func(c map[string]any) { limits(c)["maxAttempts"] = -1 }),
		"attempts as text": fresh(func(c map[string]any) { limits(c)["maxAttempts"] = "many" }),
		"no classes":       fresh(func(c map[string]any) { settings(c)["services"] = []any{} }),
		"no deadline":      fresh(func(c map[string]any) { delete(classesIn(c)[3].(map[string]any), "giveUp") }),
		"deadline 0":       fresh(func(c map[string]any) { classesIn(c)[3].(map[string]any)["giveUp"] = 0.0 }),
		"deadline -5":      fresh(func(c map[string]any) { classesIn(c)[0].(map[string]any)["giveUp"] = -5 }),
		"deadline as text": fresh(func(c map[string]any) { classesIn(c)[3].(map[string]any)["giveUp"] = "soon" }),
		"deadline null":    fresh(func(c map[string]any) { classesIn(c)[3].(map[string]any)["giveUp"] = nil }),
		"no effect":        fresh(func(c map[string]any) { delete(classesIn(c)[1].(map[string]any), "effect") }),
		"unknown effect":   fresh(func(c map[string]any) { classesIn(c)[3].(map[string]any)["effect"] = "sometimes" }),
		"duplicate name":   fresh(func(c map[string]any) { classesIn(c)[3].(map[string]any)["name"] = "safe" }),
		"no senders":       fresh(func(c map[string]any) { settings(c)["balancers"] = 0 }),
		"senders -80":      fresh(func(c map[string]any) { settings(c)["balancers"] = -80 }),
		"too many senders": fresh(func(c map[string]any) { settings(c)["balancers"] = 1e9 }),
		"senders 2.5":      fresh(func(c map[string]any) { settings(c)["balancers"] = 2.5 }),
		"slotNo -1":        fresh(func(c map[string]any) { settings(c)["slotNo"] = -1 }),
		"slotNo too high":  fresh(func(c map[string]any) { settings(c)["balancers"], settings(c)["slotNo"] = 80, 80 }),
		"slotNo as text":   fresh(func(c map[string]any) { settings(c)["slotNo"] = "first" }),
		"no name":          fresh(func(c map[string]any) { delete(classesIn(c)[3].(map[string]any), "name") }),
	}
	rejected := 0
	for name, text := range invalid {
		r.write(t, text)
		err := r.Reload(context.Background(), r.getenv)
		if err == nil {
			t.Errorf("%s: the invalid file is applied", name)
			continue
		}
		if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error %q has more than one line", name, err)
		}
		rejected++
	}
	awaitMetrics(t, r.admin, map[string]int{"sighup_applied": 0, "sighup_rejected": rejected})
	if resp, _ := do(t, st.Request(t, r.addr, "m", "fresh", 0, 5*time.Second, "x")); resp.StatusCode != 400 {
		t.Errorf("a message of a class from a rejected file is answered %s, want 400", resp.Status)
	}
	if _, shown := readMetrics(t, r.admin)["succeeded.fresh"]; shown {
		t.Error("a class from a rejected file has metrics")
	}
	r.write(t, string(raw))
	if err := r.Reload(context.Background(), r.getenv); err != nil {
		t.Fatal(err)
	}
	awaitMetrics(t, r.admin, map[string]int{
		"sighup_applied": 1, "sighup_rejected": rejected, "succeeded.fresh": 0, "aborted.fresh": 0,
	})
	st.Submit(t, r.addr, "m", "fresh", 0, 5*time.Second)
	awaitMetrics(t, r.admin, map[string]int{"succeeded.fresh": 1})
}

// Guards against a reload that changes the rules of pending messages. They keep the effect and the attempts under which
// they were accepted, in this process and in the next one; messages that are submitted later have the new rules, under
// the same class name. A class that was removed accepts no more messages, and its pending messages still end.
func TestPendingMessagesKeepTheirRulesAcrossAReload(t *testing.T) {
	for name, restart := range map[string]bool{"same process": false, "next process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			releaseFirst, releaseSecond := make(chan struct{}), make(chan struct{})
			first := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
				if c.ConnNumber == 1 { // the call that is in flight during the reload may have run
					<-releaseFirst
					return st.ResetConnection(c, conn)
				}
				return st.AnswerStatus(200)(c, conn)
			})
			second := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
				<-releaseSecond
				return st.ResetConnection(c, conn)
			})
			agent := st.NewAgent(t, first.Addr, second.Addr)
			state := t.TempDir()
			r := startReloadable(t, agent, state, nil)
			st.Submit(t, r.addr, "old", "safe", 0, 15*time.Second)
			first.NextCall(t)
			st.Submit(t, r.addr, "dropped", "unsafe", 1, 15*time.Second)
			second.NextCall(t)
			change := func(text map[string]any) {
				set := text["settings"].(map[string]any)
				set["services"] = []any{classEntry("safe", "non_idempotent"), classEntry("keyed", "idempotency_key")}
				set["limits"].(map[string]any)["maxAttempts"] = 1
			}
			if restart {
				r.stop()
				close(releaseFirst)
				r = startReloadable(t, agent, state, change)
			} else {
				change(r.text)
				r.write(t, r.text)
				if err := r.Reload(context.Background(), r.getenv); err != nil {
					t.Fatal(err)
				}
				awaitMetrics(t, r.admin, map[string]int{"sighup_applied": 1, "outstanding": 2})
				close(releaseFirst)
			}
			close(releaseSecond)
			if c := first.NextCall(t); c.ID != "old" {
				t.Errorf("the endpoint got %s, want old a second time", c.ID)
			}
			if n := st.Receive(t, agent.Notices); n.Message != "dropped" || n.Outcome != "given_up" {
				t.Errorf("notice %+v, want that message dropped is given up", n)
			}
			awaitMetrics(t, r.admin, map[string]int{"succeeded.safe": 1, "aborted.unsafe": 1, "outstanding": 0})
			resp, _ := do(t, st.Request(t, r.addr, "m", "unsafe", 0, 5*time.Second, "x"))
			if resp.StatusCode != 400 {
				t.Errorf("a message of a removed class is answered %s, want 400", resp.Status)
			}
			st.Submit(t, r.addr, "new", "safe", 1, 15*time.Second)
			second.NextCall(t)
			if n := st.Receive(t, agent.Notices); n.Message != "new" || n.Outcome != "given_up" {
				t.Errorf("notice %+v, want that message new is given up after one attempt under the new rules", n)
			}
		})
	}
}
