package emulator

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"syscall"
	"time"
)

// Upgrade starts the next process while the current one still runs, waits until the next one is healthy, and then makes
// it the current one and stops its predecessor. The error reports a process that failed to start or to exit.
func (p *Process) Upgrade() error {
	old, err := p.replace()
	if err != nil {
		return err
	}
	return p.terminatePredecessor(old)
}

// UpgradeAndLose is like Upgrade, but kills the next process a time after its predecessor is sent SIGTERM, and starts a
// further one restartPause later.
func (p *Process) UpgradeAndLose(lifetime time.Duration) error {
	old, err := p.replace()
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- p.terminatePredecessor(old) }()
	time.Sleep(lifetime)
	p.Kill()
	time.Sleep(restartPause)
	p.History.RecordIncarnationEvent(p.Number, Started, "")
	_, err = p.replace()
	if err == nil {
		p.History.RecordIncarnationEvent(p.Number, Ready, "")
	}
	return errors.Join(err, <-ended)
}

// replace starts a process at an admin address of its own, beside those that still run, waits until it is healthy and
// makes it the current one. It returns the one that was current before.
func (p *Process) replace() (old instance, err error) {
	host, _, err := net.SplitHostPort(p.AdminAddr)
	if err != nil {
		return instance{}, err
	}
	p.upgrades++
	next, err := p.launch(net.JoinHostPort(host, strconv.Itoa(upgradePortBase+p.upgrades)))
	if err != nil {
		return instance{}, err
	}
	if err := p.awaitReady(next, next.isHealthy); err != nil {
		return instance{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, p.instance = p.instance, *next
	p.readyAt = time.Now()
	return old, nil
}

// terminatePredecessor stops the predecessor in an upgrade by SIGTERM, and by SIGKILL if it has not exited after
// killAfter. The error reports that it had to be killed.
func (p *Process) terminatePredecessor(old instance) error {
	old.exitExpected.Store(true)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
		return nil
	case <-time.After(killAfter):
		old.signal(syscall.SIGKILL)
		<-old.exited
		return fmt.Errorf("sender %d: the old process did not exit after an upgrade, and was killed", p.Number)
	}
}
