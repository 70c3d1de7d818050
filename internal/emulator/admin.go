package emulator

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const adminTimeout = 2 * time.Second // for one admin command and its answer

// isHealthy reports whether the process answers the admin command HEALTH with ok.
func (i *instance) isHealthy() bool {
	reply, err := callAdmin(i.adminAddr, "HEALTH")
	return err == nil && reply == "ok\n"
}

// Metrics returns the metrics that the current process reports at its admin address.
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

// callAdmin sends one command to an admin address and returns the answer.
func callAdmin(addr, command string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return "", fmt.Errorf("admin command %s: %w", command, err)
	}
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}
