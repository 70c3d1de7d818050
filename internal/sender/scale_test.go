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

// Guards against lists that are applied too late, or take too much memory, for the last of 1,024 senders with 1,024
// endpoints on the smallest machine. Full lists and changes of all entries are applied before a drain takes effect,
// messages are sent to the endpoints on the list, and the heap stays small.
func TestThousandSendersAndEndpoints(t *testing.T) { // not parallel: it measures the heap

	const n = 1024
	// unreachableFor is the deadline of a message that has no endpoint. It is longer than it takes to apply a change of
	// all entries, which happens before the message is accepted: a message whose deadline has passed by then is
	// answered as given up instead of being accepted.
	const unreachableFor = time.Second
	one, two := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	entries := func(addr, state string, from int) (all []any) {
		for i := from; i < n; i++ {
			all = append(all, st.ListEntry(fmt.Sprintf("s-%08x", i*2654435761), addr, i, state))
		}
		return all
	}
	list := func(version int, full bool, servers []any) map[string]any {
		return map[string]any{"version": version, "full": full, "servers": servers}
	}
	listRequests, lists := make(chan string, 100), make(chan map[string]any)
	notices := make(chan st.Notice, 10)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			var notice st.Notice
			_ = json.NewDecoder(r.Body).Decode(&notice) // a notice that cannot be decoded fails a check below
			notices <- notice
			w.WriteHeader(http.StatusNoContent)
			return
		}
		listRequests <- r.URL.Query().Get("after")
		select {
		case list := <-lists:
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
		text["known"] = list(1, true, entries(one.Addr, "SERVING", 0))
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
	awaitWatch := func(version string) {
		t.Helper()
		for st.Receive(t, listRequests) != version {
		}
	}
	deliver := func(id string, dest int, to *st.Endpoint) {
		t.Helper()
		st.Submit(t, addr, id, "safe", dest, 20*time.Second)
		if c := to.NextCall(t); c.ID != id {
			t.Errorf("the endpoint got %s, not %s", c.ID, id)
		}
	}
	update := func(version int, full bool, servers []any) {
		t.Helper()
		began := time.Now()
		lists <- list(version, full, servers)
		awaitWatch(fmt.Sprint(version)) // sent after the list was queued, so events from now on are handled after it
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("version %d of the list was queued after %v", version, took)
		}
	}
	awaitWatch("1")
	deliver("known", n-1, one)
	update(2, false, entries(two.Addr, "SERVING", 0))
	deliver("moved", n-1, two)
	update(3, false, entries(two.Addr, "DRAINING", 0))
	st.Submit(t, addr, "pending", "safe", n-1, unreachableFor)
	if got := st.Receive(t, notices); got.Message != "pending" || got.Outcome != "given_up" || len(two.Calls) > 0 {
		t.Errorf("while all endpoints drain: notice %+v, %d calls, want pending given up, 0 calls", got, len(two.Calls))
	}
	update(4, true, entries(one.Addr, "SERVING", n/2))
	deliver("listed", n-1, one)
	st.Submit(t, addr, "gone", "safe", 0, unreachableFor)
	if got := st.Receive(t, notices); got.Message != "gone" || got.Outcome != "given_up" {
		t.Errorf("after its endpoint was removed from the list: notice %+v, want that message gone is given up", got)
	}
	if grown := heapInUse() - before; grown > 8<<20 {
		t.Errorf("the heap has grown by %d bytes, want at most 8 MiB", grown)
	}
}

// heapInUse returns the bytes of the heap that are in use after a garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against running out of descriptors. The connections of clients and operators, the calls and the idle
// connections, each at its limit, fit into the configured descriptors together, whatever number of concurrent calls the
// settings allow, at the start and after a reload.
func TestConnectionLimitsFitTheDescriptorLimit(t *testing.T) {
	t.Parallel()
	for _, sockets := range []int{128, 256, 384, 1024} {
		for _, maxCalls := range []float64{3, 60, 5000} {
			text := st.Config(st.NewAgent(t), t.TempDir())
			text["limits"] = map[string]any{"sockets": sockets}
			info := text["settings"].(map[string]any)["familyInfo"].(map[string]any)
			file := filepath.Join(t.TempDir(), "config.json")
			write := func(maxCalls float64) {
				info["callsOut"] = maxCalls
				raw, err := json.Marshal(text)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, raw, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			getenv := func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] }
			checkFits := func(c *config.Config) {
				t.Helper()
				clients := c.Limits.MaxClientConnections()
				operators, idle := c.Limits.MaxAdminConnections(), c.MaxIdleConnections()
				calls := c.Settings.MaxConcurrentCalls
				sum := clients + operators + idle + calls + config.ReservedDescriptors
				if sum > sockets || calls < 3 || clients < sockets/3 {
					t.Errorf("%d descriptors do not suit %d clients, %d operators, %d calls and %d idle connections",
						sockets, clients, operators, calls, idle)
				}
			}
			write(3)
			first, err := config.Load(context.Background(), slog.New(slog.DiscardHandler), os.ReadFile, getenv)
			if err != nil {
				t.Fatal(err)
			}
			checkFits(first)
			write(maxCalls)
			next, err := first.Reload(os.ReadFile, getenv)
			if err != nil {
				t.Fatal(err)
			}
			checkFits(next)
			next, err = config.Load(context.Background(), slog.New(slog.DiscardHandler), os.ReadFile, getenv)
			if err != nil {
				t.Fatal(err)
			}
			checkFits(next)
		}
	}
}
