// Command rig2 plays the cases of the second review: each starts senders by the deploy file's command beside stand-ins
// for clients, endpoints and the platform, and checks one rule of the operators' pages.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// rig holds what all cases use.
type rig struct {
	root    string // of the project
	run     string // the deploy file's command for a sender
	dir     string // temporary
	rec     *recorder
	trouble bool // the disruption takes place

	mu      sync.Mutex
	senders []*sender
}

// group waits for goroutines.
type group struct{ sync.WaitGroup }

// run calls f on a goroutine of the group.
func (g *group) run(f func()) {
	g.Add(1)
	go func() {
		defer g.Done()
		f()
	}()
}

// playCase plays a case and returns what it saw of the broken rule, one line each.
type playCase func(r *rig) (violations []string, err error)

var cases = map[string]playCase{
	"late-accept":    playLateAccept,
	"crowd":          playCrowd,
	"refused-list":   playRefusedList,
	"silent-watch":   playSilentWatch,
	"upgrade":        playUpgradeInCrowd,
	"stale-owner":    playStaleOwner,
	"half-way":       playHalfWay,
	"dead-successor": playDeadSuccessor,
}

func main() {
	record := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("keep", "", "folder for configurations, states and logs; a temporary one if empty")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 [--record FILE] CASE")
		os.Exit(couldNot)
	}
	os.Exit(runCase(play, *record, *keep))
}

// runCase plays a case from the project's root and returns the exit status.
func runCase(play playCase, record, keep string) int {
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	rec, err := newRecorder(record)
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review2-"); err != nil {
			return fail(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return fail(err)
	}
	run, err := runCommand(root)
	if err != nil {
		return fail(err)
	}
	r := &rig{root: root, run: run, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("trouble: %v", r.trouble)
	r.watch()
	violations, err := play(r)
	r.end()
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return fail(err)
	}
	for _, violation := range violations {
		rec.printf("BROKEN: %s", violation)
		fmt.Println("broken:", violation)
	}
	if len(violations) > 0 {
		return broken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return held
}

// longest is how long a case may take.
const longest = 110 * time.Second

// watch ends the senders and the program if the case takes too long or the program is told to end.
func (r *rig) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		r.rec.printf("the case is broken off")
		r.end()
		os.Exit(couldNot)
	}()
}

// end ends all senders.
func (r *rig) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.senders {
		s.end()
	}
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return couldNot
}
