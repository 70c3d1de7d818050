package main

import (
	"syscall"
	"time"
)

// The times of playSilentNotices. The hang begins some seconds before the silence, so that messages for which no
// endpoint answers run out of time and are ended by notices, before the silence and after it.
const (
	loadFrom      = 1 * time.Second
	silentHangAt  = 6 * time.Second
	silenceAt     = 14 * time.Second
	silentHangEnd = 16 * time.Second
	lastJudgedAt  = silentHangEnd + 29*time.Second // the longest time of a message later
)

// playSilentNotices lets destinations hang, so that messages run out of time and are ended by notices. In the midst of
// that the connections that the first sender has open to its agent fall silent, once; new ones work.
func playSilentNotices(d *deployment, trouble bool) (broken, judged int, err error) {
	w := d.world
	w.sleepUntil(loadFrom)
	d.startLoad()
	w.sleepUntil(silentHangAt)
	d.hang(true)
	w.sleepUntil(silenceAt)
	if trouble {
		w.note("trouble %d connections to the agent of n0 fall silent", d.proxies[0].silence())
	}
	w.sleepUntil(silentHangEnd)
	d.hang(false)
	d.stopLoad()
	w.sleepUntil(lastJudgedAt)
	broken, judged = w.checkLost()
	return broken, judged, nil
}

// The times of playUpgradeKill.
const (
	upgradeHangAt  = 6 * time.Second
	upgradeAt      = 8 * time.Second
	upgradeHangEnd = 16 * time.Second
	upgradeEnd     = 20 * time.Second

	// killedBehind is the time from the old process's SIGTERM to the SIGKILL of the new one.
	killedBehind = 2250 * time.Millisecond
	restartPause = 600 * time.Millisecond  // from a SIGKILL to the next start
	killAfter    = 3700 * time.Millisecond // from a SIGTERM to its SIGKILL
)

// playUpgradeKill upgrades the first sender while destinations hang, and kills its new process while the old one ends.
// The next process starts 0.6 s later. No message is sent after the upgrade, so that those that are out stay few.
func playUpgradeKill(d *deployment, trouble bool) (broken, judged int, err error) {
	w, s, old := d.world, d.senders[0], d.processes[0]
	w.sleepUntil(loadFrom)
	d.startLoad()
	w.sleepUntil(upgradeHangAt)
	d.hang(true)
	w.sleepUntil(upgradeAt)
	next, err := s.start("n0-2")
	if err != nil {
		return 0, 0, err
	}
	if err := next.awaitHealth(); err != nil {
		return 0, 0, err
	}
	w.note("process n0-2 says yes, SIGTERM to n0-1")
	terminatedAt := w.now()
	old.signal(syscall.SIGTERM)
	d.stopLoad()
	if trouble {
		w.sleepUntil(terminatedAt + killedBehind)
		w.note("trouble SIGKILL to n0-2")
		next.signal(syscall.SIGKILL)
		<-next.exited
		time.Sleep(restartPause)
		if _, err := s.start("n0-3"); err != nil {
			return 0, 0, err
		}
	}
	w.sleepUntil(terminatedAt + killAfter)
	if !old.hasEnded() {
		w.note("SIGKILL to n0-1")
		old.signal(syscall.SIGKILL)
	}
	w.sleepUntil(upgradeHangEnd)
	d.hang(false)
	w.sleepUntil(upgradeEnd)
	broken, judged = w.checkConcurrent()
	return broken, judged, nil
}
