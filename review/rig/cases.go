package main

import (
	"fmt"
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
	d.hang(smallest, true)
	w.sleepUntil(silenceAt)
	if trouble {
		w.note("trouble %d connections to the agent of n0 fall silent", d.proxies[0].silence())
	}
	w.sleepUntil(silentHangEnd)
	d.hang(smallest, false)
	d.stopLoad()
	w.sleepUntil(lastJudgedAt)
	broken, judged = w.checkLost(lostAfter)
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
	d.hang(smallest, true)
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
	d.hang(smallest, false)
	w.sleepUntil(upgradeEnd)
	broken, judged = w.checkConcurrent()
	return broken, judged, nil
}

// The times of playLateAccept. A message that was handed in before a sender was ready again is due after the time that
// the restart excuses, and before the next kill.
const (
	lateHangAt    = 6 * time.Second
	firstKillAt   = 8 * time.Second
	killInterval  = 6600 * time.Millisecond
	kills         = 3
	downFor       = 1400 * time.Millisecond // from a SIGKILL to the next start
	lateLoadEnd   = 23 * time.Second
	lateHangEnd   = 27800 * time.Millisecond
	lateJudgeTill = lateLoadEnd + 29*time.Second

	hangingShare      = 0.95 // of the first sender's messages
	othersStatusShare = 0.4  // among the messages of the other senders
)

// playLateAccept lets one partner system hang, to which a quarter of all messages go: the status updates of the first
// sender's clients. That sender is killed a few times and started again. Clients hand a message in again that gets no
// answer.
func playLateAccept(d *deployment, trouble bool) (broken, judged int, err error) {
	w, s, current, hanging := d.world, d.senders[0], d.processes[0], partners{0, 0}
	for n, c := range d.clients {
		c.perSecond, c.retries = [senderCount]float64{14, 24, 12}[n], mostRetries
		c.weights[0], c.statusShare = 0, othersStatusShare
	}
	first := d.clients[0]
	first.weights[0], first.statusShare = hangingShare/(1-hangingShare)*sum(first.weights), 1
	w.sleepUntil(loadFrom)
	d.startLoad()
	w.sleepUntil(lateHangAt)
	d.hang(hanging, true)
	for n := 0; n < kills && trouble; n++ {
		w.sleepUntil(firstKillAt + time.Duration(n)*killInterval)
		if current, err = s.killAndStart(current, fmt.Sprintf("n0-%d", n+2)); err != nil {
			return 0, 0, err
		}
	}
	w.sleepUntil(lateLoadEnd)
	d.stopLoad()
	w.sleepUntil(lateHangEnd)
	d.hang(hanging, false)
	w.sleepUntil(lateJudgeTill)
	broken, judged = w.checkLost(noticeDue)
	return broken, judged, nil
}

// killAndStart kills a sender's process, and starts the next one after downFor. It waits until that is ready.
func (s *sender) killAndStart(current *process, next string) (*process, error) {
	s.world.restartBegins(s.name)
	current.signal(syscall.SIGKILL)
	<-current.exited
	time.Sleep(downFor)
	started, err := s.start(next)
	if err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	s.world.restartEnds(s.name)
	return started, nil
}

func sum(values [destinations]float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
