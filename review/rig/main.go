// Command rig plays the cases of the review: it stands in for clients, endpoints and the platform, starts the senders
// as processes, and checks a rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// longestRun bounds a run, whatever happens.
	longestRun = 115 * time.Second
)

// scenario plays a case and checks its rule.
type scenario func(d *deployment, trouble bool) (broken, judged int, err error)

var scenarios = map[string]scenario{
	"silent-notices": playSilentNotices,
	"upgrade-kill":   playUpgradeKill,
	"late-accept":    playLateAccept,
}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "the root of the project")
	record := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	signal.Ignore(syscall.SIGPIPE) // the run ends its processes even if nobody reads its result
	code, err := play(*name, *root, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(name, root, record string, trouble bool) (code int, err error) {
	playCase := scenarios[name]
	if playCase == nil {
		return exitFailed, fmt.Errorf("no case is called %q", name)
	}
	if root, err = filepath.Abs(root); err != nil {
		return exitFailed, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w, err := newWorld(record)
	if err != nil {
		return exitFailed, err
	}
	defer func() { _ = w.close() }()
	endEarly(w)
	defer killAll()
	d, err := deploy(w, root, folder)
	if err != nil {
		return exitFailed, err
	}
	broken, judged, err := playCase(d, trouble)
	if err != nil {
		return exitFailed, err
	}
	result := fmt.Sprintf("case %s, trouble %v: %d judged, %d broken", name, trouble, judged, broken)
	w.note("%s", result)
	fmt.Println(result)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// endEarly ends all processes and the run if it takes too long, or on a signal.
func endEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		killAll()
		w.note("the run was ended early")
		_ = w.close()
		os.Exit(exitFailed)
	}()
}
