package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// usageInterval is how often a usageMonitor looks at the processes.
const usageInterval = 10 * time.Millisecond

// usage is what the processes of a sender hold together at one moment.
type usage struct {
	anonymous   int64 // bytes of anonymous memory
	program     int64 // bytes of the pages of the program and its libraries, which the processes share
	files       int64 // bytes of files in the sender's directories, which count as memory
	descriptors int
}

func (u usage) memory() int64 { return u.anonymous + u.program + u.files }

// usageMonitor records the most that the processes of one sender hold together.
type usageMonitor struct {
	directories []string
	processes   chan *process // to be looked at from now on
	stopped     chan struct{}
	done        chan struct{}

	mostMemory, mostDescriptors usage // valid once done is closed
}

// monitorUsage starts to look at the processes that are passed to add.
func monitorUsage(directories ...string) *usageMonitor {
	m := &usageMonitor{
		directories: directories,
		processes:   make(chan *process, 8),
		stopped:     make(chan struct{}),
		done:        make(chan struct{}),
	}
	go m.run()
	return m
}

// add adds a process.
func (m *usageMonitor) add(p *process) { m.processes <- p }

// stop ends the monitor. Afterwards the most that was held can be read.
func (m *usageMonitor) stop() {
	close(m.stopped)
	<-m.done
}

func (m *usageMonitor) run() {
	defer close(m.done)
	var watched []*process
	for {
		select {
		case p := <-m.processes:
			watched = append(watched, p)
		case <-time.After(usageInterval):
			m.record(usageOf(watched, m.directories))
		case <-m.stopped:
			return
		}
	}
}

func (m *usageMonitor) record(u usage) {
	if u.memory() > m.mostMemory.memory() {
		m.mostMemory = u
	}
	if u.descriptors > m.mostDescriptors.descriptors {
		m.mostDescriptors = u
	}
}

// check fails the test if the processes have held more than the limits.
func (m *usageMonitor) check(t *testing.T, limits senderLimits) {
	t.Helper()
	t.Logf("most memory: %.1f MB, %.1f MB of the program and %.1f MB of files; most descriptors: %d",
		float64(m.mostMemory.anonymous)/1e6, float64(m.mostMemory.program)/1e6, float64(m.mostMemory.files)/1e6,
		m.mostDescriptors.descriptors)
	if m.mostMemory.memory() > int64(limits.memoryMB)*1e6 {
		t.Errorf("the sender held %.1f of %d MB", float64(m.mostMemory.memory())/1e6, limits.memoryMB)
	}
	if m.mostDescriptors.descriptors > limits.descriptors {
		t.Errorf("the sender held %d of %d descriptors", m.mostDescriptors.descriptors, limits.descriptors)
	}
}

// usageOf returns what the processes and directories hold now. A process that has ended holds nothing.
func usageOf(processes []*process, directories []string) (u usage) {
	for _, p := range processes {
		anonymous, program := residentMemory(p.Process.Pid)
		u.anonymous += anonymous
		u.program = max(u.program, program)
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
		u.descriptors += len(entries)
	}
	for _, directory := range directories {
		u.files += fileBytes(directory)
	}
	return u
}

// residentMemory returns the bytes of anonymous memory and of mapped files of a process, 0 if it has ended.
func residentMemory(pid int) (anonymous, mapped int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if name != "RssAnon" && name != "RssFile" {
			continue
		}
		kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		if name == "RssAnon" {
			anonymous = kilobytes << 10
		} else {
			mapped = kilobytes << 10
		}
	}
	return anonymous, mapped
}

// fileBytes returns the bytes of the regular files in a directory.
func fileBytes(directory string) (sum int64) {
	_ = filepath.WalkDir(directory, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil {
			return nil // removed meanwhile
		}
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			sum += info.Size()
		}
		return nil
	})
	return sum
}
