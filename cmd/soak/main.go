// Command soak runs many senders as processes under overlapping faults and checks the invariants of the protocol. Each
// seed gives a different plan of faults. A run takes the duration of its load and a few seconds more. The command exits
// with 1 if an invariant was violated or a run could not be carried out.
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
	// senderVariable is the environment variable that makes this program run as one of the senders.
	senderVariable = "SOAK_SENDER"
	// maxPrinted is the maximum number of violations of one rule that are printed.
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

// commandLine holds the values of the flags.
type commandLine struct {
	firstSeed uint64
	seeds     int
	parallel  int // number of seeds that run concurrently
	directory string
	verbose   bool
	options   emulator.Options
}

// parse returns the values of the flags in args.
func parse(args []string) (*commandLine, error) {
	c := &commandLine{}
	var faults []string
	set := pflag.NewFlagSet("soak", pflag.ContinueOnError)
	set.Uint64Var(&c.firstSeed, "seed", 1, "the first seed")
	set.IntVar(&c.seeds, "seeds", 1, "number of consecutive seeds")
	set.IntVar(&c.parallel, "parallel", 1, "number of seeds that run concurrently")
	set.IntVar(&c.options.Senders, "senders", 24, "number of sender processes")
	set.IntVar(&c.options.Destinations, "destinations", 6, "number of destinations, each with two endpoints")
	set.Float64Var(&c.options.Rate, "rate", 8, "messages per second to each sender")
	set.DurationVar(&c.options.LoadDuration, "load", 20*time.Second, "how long messages are submitted")
	set.BoolVar(&c.options.PollsEndpointList, "on-request", false, "endpoint lists are polled instead of pushed")
	set.DurationVar(&c.options.Tolerance, "tolerance", 150*time.Millisecond, "allowance for delays of the machine")
	set.StringSliceVar(&faults, "faults", nil, "kinds of faults to choose from; if empty, the default ones")
	set.StringVar(&c.directory, "folder", "", "directory for states and logs; if empty, they are removed after the run")
	set.BoolVar(&c.verbose, "verbose", false, "print the plan of faults")
	set.SetNormalizeFunc(currentFlagName)
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

// currentFlagName returns the current name of a flag that may be given by its former name.
func currentFlagName(_ *pflag.FlagSet, name string) pflag.NormalizedName {
	if name == "troubles" {
		name = "faults"
	}
	return pflag.NormalizedName(name)
}

// parseFaultKinds returns the kinds of faults with the given names, current or former, or all kinds if names is empty.
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

// run runs the seeds and prints a report of each, in order.
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
		defer func() { _ = os.RemoveAll(directory) }() // files that cannot be removed stay in the temporary directory
	}
	return printOutcomes(out, c.startSeeds(directory))
}

// outcome is the result of the run of one seed.
type outcome struct {
	report        string
	hasViolations bool
	err           error // why the run could not be carried out
}

// startSeeds starts the runs of all seeds in goroutines, at most c.parallel of them concurrently, and returns a channel
// for the outcome of each.
func (c *commandLine) startSeeds(directory string) []chan outcome {
	outcomes := make([]chan outcome, c.seeds)
	slots := make(chan struct{}, max(1, c.parallel))
	for n := range outcomes {
		outcomes[n] = make(chan outcome, 1)
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			outcomes[n] <- c.runSeed(c.firstSeed+uint64(n), directory)
		}()
	}
	return outcomes
}

// runSeed runs one seed.
func (c *commandLine) runSeed(seed uint64, directory string) outcome {
	o := c.options
	o.Seed = seed
	o.Directory = filepath.Join(directory, fmt.Sprint("seed", seed))
	o.Command = emulator.Command{Path: os.Args[0], Env: []string{senderVariable + "=1"}}
	if err := os.RemoveAll(o.Directory); err != nil { // removes the files of an earlier run
		return outcome{err: err}
	}
	report, err := emulator.Run(o)
	if err != nil {
		return outcome{err: fmt.Errorf("seed %d: %w", seed, err)}
	}
	return outcome{report: describe(seed, report, c.verbose), hasViolations: len(report.Violations) > 0}
}

// printOutcomes prints the reports in order of the seeds. It stops at the first run that could not be carried out.
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
		if o.hasViolations {
			failed = errViolations
		}
	}
	return failed
}

// describe returns the report of one run as text.
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
