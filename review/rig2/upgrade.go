package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	upgradeMemoryMB = 64  // as on the reported days; terms: 32 to 192 MB
	upgradeSockets  = 384 // as on the reported days; terms: 256 to 1,024 descriptors

	upgradePeers    = 600                   // bad clients at a time; thousands in all
	upgradePeerBody = 65_000                // of 65,536
	upgradeLoad     = 60 * time.Millisecond // between two messages
	upgradeFor      = 5 * time.Second       // from the new process's start on
)

// usage is what all processes of a sender hold together.
type usage struct {
	anonymous int64 // bytes of memory
	files     int64 // bytes in the folders, which count as memory; each file in whole 512
	sockets   int
}

// usage returns what the processes of the sender hold now.
func (s *sender) usage() (u usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.hasExited() {
			u.anonymous += anonymousBytes(p.Process.Pid)
			u.sockets += openSockets(p.Process.Pid)
		}
	}
	for _, folder := range []string{s.state(), filepath.Join(s.dir, "tmp")} {
		u.files += folderBytes(folder)
	}
	return u
}

// anonymousBytes returns the anonymous memory of a process: its pages of programs and libraries are left out.
func anonymousBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // it has just ended
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// openSockets returns how many sockets a process holds.
func openSockets(pid int) (count int) {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder) // it may have just ended
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(folder, entry.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// folderBytes returns the bytes of the files in a folder.
func folderBytes(folder string) (sum int64) {
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}

// playUpgradeInCrowd upgrades a sender while a crowd of bad clients stops half way in its requests. Its two
// processes together have to keep to the limits.
func playUpgradeInCrowd(r *rig) ([]string, error) {
	s, _, err := r.newSender(2, true, serveSoon)
	if err != nil {
		return nil, err
	}
	s.limits["memory_mb"], s.limits["sockets"] = upgradeMemoryMB, upgradeSockets
	old, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitHealthy(old); err != nil {
		return nil, err
	}
	clients := &clients{rec: r.rec, addr: s.addr, class: vacancyStatus, deadline: 5 * time.Second,
		body: strings.Repeat("s", 64<<10)}
	stop := clients.every(upgradeLoad)
	defer stop()
	crowd := newCrowd(s.addr)
	if r.trouble {
		crowd.come()
	}
	defer crowd.leave()
	time.Sleep(5 * time.Second)
	before := s.usage()
	r.rec.printf("one process: %d bytes of memory, %d of files, %d sockets", before.anonymous, before.files,
		before.sockets)
	next, err := s.start()
	if err != nil {
		return nil, err
	}
	ready := make(chan error, 1)
	go func() {
		err := s.waitHealthy(next)
		s.signal(old, syscall.SIGTERM)
		ready <- err
	}()
	found := s.overLimits(time.Now().Add(upgradeFor))
	return found, <-ready
}

// overLimits watches what the processes hold together until a time, and returns the worst of what is over the limits.
func (s *sender) overLimits(until time.Time) (found []string) {
	var memory, sockets usage
	for i := 0; time.Now().Before(until); i++ {
		u := s.usage()
		if u.anonymous+u.files > memory.anonymous+memory.files {
			memory = u
		}
		if u.sockets > sockets.sockets {
			sockets = u
		}
		if i%10 == 0 {
			s.rec.printf("all processes: %d bytes of memory, %d of files, %d sockets", u.anonymous, u.files, u.sockets)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if sum := memory.anonymous + memory.files; sum > upgradeMemoryMB*1_000_000 {
		found = append(found, fmt.Sprintf("the two processes held %d bytes of memory and %d of files: %.1f of %d MB",
			memory.anonymous, memory.files, float64(sum)/1e6, upgradeMemoryMB))
	}
	if sockets.sockets > upgradeSockets {
		found = append(found, fmt.Sprintf("the two processes held %d of %d sockets", sockets.sockets, upgradeSockets))
	}
	return found
}

// crowd is a crowd of bad clients that connect and stop half way in a request.
type crowd struct {
	addr string
	gone chan struct{}
	open group
}

func newCrowd(addr string) *crowd { return &crowd{addr: addr, gone: make(chan struct{})} }

// come lets the bad clients come. Each comes again when the sender has closed its connection.
func (c *crowd) come() {
	half := badRequest(64<<10, upgradePeerBody)
	for range upgradePeers {
		c.open.run(func() {
			for {
				select {
				case <-c.gone:
					return
				case <-time.After(20 * time.Millisecond):
				}
				text := half
				c.rest(text)
			}
		})
	}
}

// rest connects, sends a text, and rests until the sender closes the connection, for 4 s at most.
func (c *crowd) rest(text string) {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, conn)
}

// leave waits until all bad clients are gone.
func (c *crowd) leave() {
	close(c.gone)
	c.open.Wait()
}
