// Command soak plays many senders as real processes under overlapping troubles, and judges them by the protocol's
// invariants. Each seed is a plan of its own; a run takes its load's time and some seconds more.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"onyxdyke.example/onyxdyke/internal/emulator"
)

// senderVariable makes this program one of the senders.
const senderVariable = "SOAK_SENDER"

var errViolations = errors.New("invariants were violated")

func main() {
	if os.Getenv(senderVariable) != "" {
		if err := emulator.RunSender(); err != nil {
			slog.Error("sender", "err", err)
			os.Exit(1)
		}
		return
	}
	if err := run(os.Args[1:], os.Stdout); err != nil {
		if !errors.Is(err, pflag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
		os.Exit(1)
	}
}

// flags is the command line.
type flags struct {
	seed     uint64
	seeds    int
	only     []string
	folder   string
	verbose  bool
	parallel int
	options  emulator.Options
}

func parse(args []string) (*flags, error) {
	f := &flags{}
	set := pflag.NewFlagSet("soak", pflag.ContinueOnError)
	set.Uint64Var(&f.seed, "seed", 1, "the first seed")
	set.IntVar(&f.seeds, "seeds", 1, "how many seeds, one after another")
	set.IntVar(&f.parallel, "parallel", 1, "how many of them side by side")
	set.IntVar(&f.options.Senders, "senders", 24, "processes")
	set.IntVar(&f.options.Destinations, "destinations", 6, "destinations, each with two endpoints")
	set.Float64Var(&f.options.Rate, "rate", 8, "messages a second for each sender")
	set.DurationVar(&f.options.LoadDuration, "load", 20*time.Second, "how long messages are handed in")
	set.BoolVar(&f.options.PollsEndpointList, "on-request", false, "lists come on request, and are not pushed")
	set.DurationVar(&f.options.Tolerance, "tolerance", 150*time.Millisecond, "for the machine's own delays")
	set.StringSliceVar(&f.only, "troubles", nil, "kinds of trouble to draw from, all if empty")
	set.StringVar(&f.folder, "folder", "", "keeps states and logs there, else they are removed")
	set.BoolVar(&f.verbose, "verbose", false, "prints the plan")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	f.options.FaultKinds = emulator.AllFaultKinds
	if len(f.only) > 0 {
		f.options.FaultKinds = nil
		for _, name := range f.only {
			kind := emulator.FaultKind(name)
			if !slices.Contains(emulator.AllFaultKinds, kind) {
				return nil, fmt.Errorf("no trouble is called %q; there are: %v", name, emulator.AllFaultKinds)
			}
			f.options.FaultKinds = append(f.options.FaultKinds, kind)
		}
	}
	return f, nil
}

// run plays the seeds and prints a report of each.
func run(args []string, out io.Writer) error {
	f, err := parse(args)
	if err != nil {
		return err
	}
	folder := f.folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
		defer os.RemoveAll(folder)
	}
	type outcome struct {
		text string
		bad  bool
		err  error
	}
	outcomes := make([]chan outcome, f.seeds)
	places := make(chan struct{}, max(1, f.parallel))
	for n := range outcomes {
		outcomes[n] = make(chan outcome, 1)
		go func() {
			places <- struct{}{}
			defer func() { <-places }()
			o := f.options
			o.Seed = f.seed + uint64(n)
			o.Directory = filepath.Join(folder, fmt.Sprint("seed", o.Seed))
			o.Command = emulator.Command{Path: os.Args[0], Env: []string{senderVariable + "=1"}}
			if err := os.RemoveAll(o.Directory); err != nil { // of an earlier run
				outcomes[n] <- outcome{err: err}
				return
			}
			report, err := emulator.Run(o)
			if err != nil {
				outcomes[n] <- outcome{err: fmt.Errorf("seed %d: %w", o.Seed, err)}
				return
			}
			outcomes[n] <- outcome{text: describe(o.Seed, report, f.verbose), bad: len(report.Violations) > 0}
		}()
	}
	var failed error
	for _, done := range outcomes {
		o := <-done
		if o.err != nil {
			return o.err
		}
		fmt.Fprint(out, o.text)
		if o.bad {
			failed = errViolations
		}
	}
	return failed
}

const mostLines = 20 // violations of one rule that are printed

// describe is the report of one run as text.
func describe(seed uint64, r *emulator.Report, plan bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d violations; delivery ms: half within %d, 99%% within %d\n", seed, len(r.Violations), r.Quantile(0.5), r.Quantile(0.99))
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "  %s %d", name, r.Counts[name])
	}
	b.WriteString("\n")
	if plan || len(r.Violations) > 0 {
		for _, t := range r.Plan {
			fmt.Fprintf(&b, "  plan %v\n", t)
		}
	}
	printed := map[string]int{}
	for _, v := range r.Violations {
		if printed[v.Rule]++; printed[v.Rule] <= mostLines {
			fmt.Fprintf(&b, "  %v\n", v)
		}
	}
	return b.String()
}
