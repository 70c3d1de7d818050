// Command soak plays many senders as real processes under overlapping faults, and judges them by the protocol's
// invariants. Each seed is a plan of its own; a run takes its load's time and some seconds more. It exits with 1 if an
// invariant was violated or a run could not be played.
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

const (
	// senderVariable makes this program one of the senders.
	senderVariable = "SOAK_SENDER"
	// maxPrinted is how many violations of one rule are printed.
	maxPrinted = 20
)

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

// commandLine is what the options say.
type commandLine struct {
	firstSeed uint64
	seeds     int
	parallel  int // seeds side by side
	directory string
	verbose   bool
	options   emulator.Options
}

func parse(args []string) (*commandLine, error) {
	c := &commandLine{}
	var faults []string
	set := pflag.NewFlagSet("soak", pflag.ContinueOnError)
	set.Uint64Var(&c.firstSeed, "seed", 1, "the first seed")
	set.IntVar(&c.seeds, "seeds", 1, "how many seeds, one after another")
	set.IntVar(&c.parallel, "parallel", 1, "how many of them side by side")
	set.IntVar(&c.options.Senders, "senders", 24, "processes")
	set.IntVar(&c.options.Destinations, "destinations", 6, "destinations, each with two endpoints")
	set.Float64Var(&c.options.Rate, "rate", 8, "messages per second for each sender")
	set.DurationVar(&c.options.LoadDuration, "load", 20*time.Second, "how long messages are submitted")
	set.BoolVar(&c.options.PollsEndpointList, "on-request", false, "endpoint lists are polled, and not pushed")
	set.DurationVar(&c.options.Tolerance, "tolerance", 150*time.Millisecond, "for delays of the machine itself")
	set.StringSliceVar(&faults, "faults", nil, "kinds of faults to draw from, all if empty")
	set.StringVar(&c.directory, "folder", "", "keeps states and logs there; otherwise they are removed")
	set.BoolVar(&c.verbose, "verbose", false, "prints the plan")
	set.SetNormalizeFunc(presentOptionName)
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	kinds, err := parseFaultKinds(faults)
	if err != nil {
		return nil, err
	}
	c.options.FaultKinds = kinds
	return c, nil
}

// presentOptionName is the name of an option that may be given by its former one.
func presentOptionName(_ *pflag.FlagSet, name string) pflag.NormalizedName {
	if name == "troubles" {
		name = "faults"
	}
	return pflag.NormalizedName(name)
}

// parseFaultKinds is the kinds with some names, present or former; all for no names.
func parseFaultKinds(names []string) ([]emulator.FaultKind, error) {
	if len(names) == 0 {
		return emulator.AllFaultKinds, nil
	}
	var kinds []emulator.FaultKind
	for _, name := range names {
		kind, err := emulator.ParseFaultKind(name)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// run plays the seeds and prints a report of each, in order.
func run(args []string, out io.Writer) error {
	c, err := parse(args)
	if err != nil {
		return err
	}
	directory := c.directory
	if directory == "" {
		if directory, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(directory) }() // what stays is in the system's temporary directory
	}
	return printOutcomes(out, c.startSeeds(directory))
}

// outcome is how the run of one seed ended.
type outcome struct {
	report      string
	hasViolated bool
	err         error // what kept it from being played
}

// startSeeds plays the seeds in goroutines, so many side by side, and gives a channel for the outcome of each.
func (c *commandLine) startSeeds(directory string) []chan outcome {
	outcomes := make([]chan outcome, c.seeds)
	slots := make(chan struct{}, max(1, c.parallel))
	for n := range outcomes {
		outcomes[n] = make(chan outcome, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			outcomes[n] <- c.playSeed(c.firstSeed+uint64(n), directory)
		}()
	}
	return outcomes
}

// playSeed plays one run.
func (c *commandLine) playSeed(seed uint64, directory string) outcome {
	o := c.options
	o.Seed = seed
	o.Directory = filepath.Join(directory, fmt.Sprint("seed", seed))
	o.Command = emulator.Command{Path: os.Args[0], Env: []string{senderVariable + "=1"}}
	if err := os.RemoveAll(o.Directory); err != nil { // of an earlier run
		return outcome{err: err}
	}
	report, err := emulator.Run(o)
	if err != nil {
		return outcome{err: fmt.Errorf("seed %d: %w", seed, err)}
	}
	return outcome{report: describe(seed, report, c.verbose), hasViolated: len(report.Violations) > 0}
}

// printOutcomes prints the reports in order of the seeds. It stops at the first run that could not be played.
func printOutcomes(out io.Writer, outcomes []chan outcome) error {
	var failed error
	for _, done := range outcomes {
		o := <-done
		if o.err != nil {
			return o.err
		}
		if _, err := io.WriteString(out, o.report); err != nil {
			return fmt.Errorf("print report: %w", err)
		}
		if o.hasViolated {
			failed = errViolations
		}
	}
	return failed
}

// describe is the report of one run as text.
func describe(seed uint64, r *emulator.Report, withPlan bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d violations; delivery ms: half within %d, 99%% within %d\n",
		seed, len(r.Violations), r.Quantile(0.5), r.Quantile(0.99))
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, "  %s %d", name, r.Counts[name])
	}
	b.WriteString("\n")
	if withPlan || len(r.Violations) > 0 {
		for _, fault := range r.Plan {
			fmt.Fprintf(&b, "  plan %v\n", fault)
		}
	}
	printed := map[string]int{}
	for _, v := range r.Violations {
		if printed[v.Rule]++; printed[v.Rule] <= maxPrinted {
			fmt.Fprintf(&b, "  %v\n", v)
		}
	}
	return b.String()
}
