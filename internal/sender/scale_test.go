package sender

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// The last of 1,024 senders with 1,024 endpoints, on the smallest machine: full lists and changes of all entries are
// applied before a drain does, messages go where the list says, and the memory for all of that stays small.
func TestThousandSendersAndEndpoints(t *testing.T) { // not parallel: it measures the heap

	const n = 1024
	// unreachableFor is the time of a message without an endpoint: longer than a change of all entries, which is
	// applied before the message is accepted. One whose time is up by then is answered as given up, not accepted.
	const unreachableFor = time.Second
	one, two := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	lines := func(addr, state string, from int) (all []any) {
		for i := from; i < n; i++ {
			all = append(all, st.Server(fmt.Sprintf("s-%08x", i*2654435761), addr, i, state))
		}
		return all
	}
	list := func(version int, full bool, servers []any) map[string]any {
		return map[string]any{"version": version, "full": full, "servers": servers}
	}
	asked, answer := make(chan string, 100), make(chan map[string]any)
	notices := make(chan st.Notice, 10)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var notice st.Notice
			_ = json.NewDecoder(r.Body).Decode(&notice) // a notice that cannot be read is not the one that is awaited
			notices <- notice
			w.WriteHeader(http.StatusNoContent)
			return
		}
		asked <- r.URL.Query().Get("after")
		select {
		case list := <-answer:
			_ = json.NewEncoder(w).Encode(list)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(discovery.CloseClientConnections)

	before := heapInUse()
	addr := startSender(t, st.NewAgent(t), func(c *config.Config) {
		text := st.Config(st.NewAgent(t), c.State)
		text["discovery"] = strings.TrimPrefix(discovery.URL, "http://")
		text["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 256, "disk_mb": 3}
		text["known"] = list(1, true, lines(one.Addr, "SERVING", 0))
		settings := text["settings"].(map[string]any)
		settings["balancers"], settings["slotNo"] = n, n-1
		raw, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := config.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		*c = *parsed
	})
	watches := func(version string) {
		t.Helper()
		for st.Receive(t, asked) != version {
		}
	}
	deliver := func(id string, dest int, to *st.Endpoint) {
		t.Helper()
		st.Submit(t, addr, id, "safe", dest, 20*time.Second)
		if c := to.Next(t); c.ID != id {
			t.Errorf("the endpoint got %s, not %s", c.ID, id)
		}
	}
	update := func(version int, full bool, servers []any) {
		t.Helper()
		began := time.Now()
		answer <- list(version, full, servers)
		watches(fmt.Sprint(version)) // by then the list is queued before any later event
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("version %d was applied after %v", version, took)
		}
	}
	watches("1")
	deliver("known", n-1, one)
	update(2, false, lines(two.Addr, "SERVING", 0))
	deliver("moved", n-1, two)
	update(3, false, lines(two.Addr, "DRAINING", 0))
	st.Submit(t, addr, "pending", "safe", n-1, unreachableFor)
	if got := st.Receive(t, notices); got.Message != "pending" || got.Outcome != "given_up" || len(two.Calls) > 0 {
		t.Errorf("with all endpoints draining: %+v, %d calls", got, len(two.Calls))
	}
	update(4, true, lines(one.Addr, "SERVING", n/2))
	deliver("listed", n-1, one)
	st.Submit(t, addr, "gone", "safe", 0, unreachableFor)
	if got := st.Receive(t, notices); got.Message != "gone" || got.Outcome != "given_up" {
		t.Errorf("with its endpoint off the list: %+v", got)
	}
	if grown := heapInUse() - before; grown > 8<<20 {
		t.Errorf("%d bytes more on the heap", grown)
	}
}

// heapInUse is the heap in use after a garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Connections of clients and operators, calls and idle connections fit into the configured descriptors together, each
// at its limit, whatever number of concurrent calls the settings allow, at the start and after a reload.
func TestConnectionLimitsFitTheDescriptorLimit(t *testing.T) {
	t.Parallel()
	for _, sockets := range []int{128, 256, 384, 1024} {
		for _, slots := range []float64{3, 60, 5000} {
			text := st.Config(st.NewAgent(t), t.TempDir())
			text["limits"] = map[string]any{"sockets": sockets}
			info := text["settings"].(map[string]any)["familyInfo"].(map[string]any)
			file := filepath.Join(t.TempDir(), "config.json")
			write := func(slots float64) {
				info["callsOut"] = slots
				raw, err := json.Marshal(text)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, raw, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			getenv := func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] }
			fits := func(c *config.Config) {
				t.Helper()
				clients := c.Limits.MaxClientConnections()
				operators, idle := c.Limits.MaxAdminConnections(), c.MaxIdleConnections()
				calls := c.Settings.MaxConcurrentCalls
				sum := clients + operators + idle + calls + config.ReservedDescriptors
				if sum > sockets || calls < 3 || clients < sockets/3 {
					t.Errorf("of %d: %d clients, %d operators, %d calls, %d idle",
						sockets, clients, operators, calls, idle)
				}
			}
			write(3)
			first, err := config.Load(context.Background(), slog.New(slog.DiscardHandler), os.ReadFile, getenv)
			if err != nil {
				t.Fatal(err)
			}
			fits(first)
			write(slots)
			next, err := first.Reload(os.ReadFile, getenv)
			if err != nil {
				t.Fatal(err)
			}
			fits(next)
			next, err = config.Load(context.Background(), slog.New(slog.DiscardHandler), os.ReadFile, getenv)
			if err != nil {
				t.Fatal(err)
			}
			fits(next)
		}
	}
}
