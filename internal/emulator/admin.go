package emulator

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const adminTimeout = 2 * time.Second // of one call

// isHealthy reports whether a process says at the admin address that it serves.
func (i *instance) isHealthy() bool {
	reply, err := callAdmin(i.adminAddr, "HEALTH")
	return err == nil && reply == "ok\n"
}

// Metrics reads the figures that the process reports of itself.
func (p *Process) Metrics() (map[string]int, error) {
	text, err := callAdmin(p.current().adminAddr, "DUMP")
	if err != nil {
		return nil, err
	}
	metrics := map[string]int{}
	for _, line := range strings.Split(text, "\n") {
		name, value, found := strings.Cut(line, "=")
		if n, err := strconv.Atoi(value); found && err == nil {
			metrics[name] = n
		}
	}
	return metrics, nil
}

// callAdmin makes one call at an admin address.
func callAdmin(addr, call string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return "", fmt.Errorf("admin call %s: %w", call, err)
	}
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}
