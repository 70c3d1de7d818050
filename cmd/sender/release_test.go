package main

import (
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// release is a released version that is in use. It hands over to this program in an upgrade, and takes over from it in
// a roll-back.
type release struct {
	commit  string
	command string // package of the sender's command
}

var releases = []release{
	{commit: "5d1fee9", command: "./cmd/saffronyard"},
	{commit: "09cb254", command: "./cmd/sender"},
}

// build builds the program of the release from its commit and returns the path.
func (r release) build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	archive := filepath.Join(dir, "release.tar")
	program := filepath.Join(dir, "release")
	for _, command := range []*exec.Cmd{
		exec.Command("git", "archive", "-o", archive, r.commit+":"),
		exec.Command("tar", "-xf", archive, "-C", dir),
		exec.Command("go", "build", "-o", program, r.command),
	} {
		command.Dir = dir
		if command.Args[0] == "git" {
			command.Dir = filepath.Join("..", "..")
		}
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v: %s", command.Args, err, out)
		}
	}
	return program
}

// adminReply returns the reply to one call at the operators' address, "" if there is none.
func adminReply(admin, call string) string {
	conn, err := net.Dial("tcp", admin)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, call+"\n")
	reply, _ := io.ReadAll(conn)
	return string(reply)
}

// waitReply waits until the reply to a call contains all texts.
func waitReply(t *testing.T, admin, call string, texts ...string) {
	t.Helper()
	for end := time.Now().Add(st.Timeout); ; time.Sleep(5 * time.Millisecond) {
		reply := adminReply(admin, call)
		missing := ""
		for _, text := range texts {
			if !strings.Contains(reply, text) {
				missing = text
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the reply to %s is %q, without %q", call, reply, missing)
		}
	}
}

// Guards against an incompatible change of the hand-over: each release must hand over to this program, and this program
// to the release again. A call that is in flight then must end once, and be counted once, by the successor. The
// successor must deliver a message that waits for an endpoint. A request that a client sends on a connection to the
// predecessor must be answered on that connection.
func TestUpgradeAndRollBack(t *testing.T) {
	for _, r := range releases {
		t.Run(r.commit, func(t *testing.T) { testUpgradeAndRollBack(t, r.build(t)) })
	}
}

func testUpgradeAndRollBack(t *testing.T, release string) {
	addr, socket := passedSocket(t)
	state := t.TempDir()
	unblocked := make(chan struct{}, 1)
	slow := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		<-unblocked
		return st.AnswerStatus(200)(c, conn)
	})
	quick := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, slow.Addr, quick.Addr)

	start := func(program string) (*process, string) {
		admin := freeAddr(t)
		p := launchProgram(
			t,
			program,
			agent,
			state,
			addr,
			socket,
			os.Stderr,
			"EDGE_PASSED_SOCKET=3",
			"EDGE_ADMIN_ADDR="+admin,
		)
		waitReply(t, admin, "HEALTH", "ok\n")
		return p, admin
	}
	before, beforeAdmin := start(release)
	for stage, program := range []string{os.Args[0], release} {
		name := []string{"upgrade", "roll-back"}[stage]
		client := &http.Client{Transport: &http.Transport{}, Timeout: st.Timeout}
		submit := func(id string, destination int) {
			t.Helper()
			resp, err := client.Do(st.Request(t, addr, id, "unsafe", destination, 15*time.Second, "body of "+id))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusAccepted {
				t.Fatalf("%s is answered %s", id, resp.Status)
			}
		}
		unlisted := 10 + stage // a destination without endpoints yet
		submit(name+" in flight", 0)
		if c := slow.NextCall(t); c.ID != name+" in flight" {
			t.Fatalf("the slow endpoint got %s", c.ID)
		}
		submit(name+" waiting", unlisted)

		after, afterAdmin := start(program)
		waitReply(t, beforeAdmin, "HEALTH", "fail leaving\n")
		waitReply(t, afterAdmin, "DUMP", "outstanding=2\n", "forwards=0\n")
		submit(name+" forwarded", 1) // on the connection to the predecessor
		if c := quick.NextCall(t); c.ID != name+" forwarded" || c.Body != "body of "+name+" forwarded" {
			t.Errorf("the quick endpoint got %+v", c)
		}
		unblocked <- struct{}{}
		waitReply(
			t,
			afterAdmin,
			"DUMP",
			"outstanding=1\n",
			"succeeded.unsafe=2\n",
			"aborted.unsafe=0\n",
			"forwards=1\n",
		)
		agent.UpdateList(st.ListEntry("late-"+name, quick.Addr, unlisted, "SERVING"))
		if c := quick.NextCall(t); c.ID != name+" waiting" || c.Body != "body of "+name+" waiting" {
			t.Errorf("the quick endpoint got %+v", c)
		}
		waitReply(t, afterAdmin, "DUMP", "outstanding=0\n", "succeeded.unsafe=3\n", "forwards=2\n")
		client.CloseIdleConnections()
		if err := before.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := before.Wait(); err != nil {
			t.Errorf("%s: the predecessor exits with %v", name, err)
		}
		before, beforeAdmin = after, afterAdmin
	}
	for _, e := range []*st.Endpoint{slow, quick} {
		select {
		case c := <-e.Calls:
			t.Errorf("%s is sent again", c.ID)
		default:
		}
	}
	select {
	case n := <-agent.Notices:
		t.Errorf("unexpected notice of message %s: %s", n.Message, n.Outcome)
	default:
	}
}
