package main

import (
	"slices"
	"testing"

	"onyxdyke.example/onyxdyke/internal/emulator"
)

// Guards against scripts that stop working: kinds of faults can be given by --faults or its former name --troubles, and
// by the current or former names of the kinds.
func TestParseFaultKinds(t *testing.T) {
	t.Parallel()
	two := []emulator.FaultKind{emulator.SendersPaused, emulator.DiskFull}
	for name, c := range map[string]struct {
		args []string
		want []emulator.FaultKind
	}{
		"all by default":          {nil, emulator.AllFaultKinds},
		"current names":           {[]string{"--faults", "senders are paused,disks are full"}, two},
		"former name of the kind": {[]string{"--faults", "senders are held up,disks are full"}, two},
		"former names":            {[]string{"--troubles=senders are held up,disks are full"}, two},
		"given twice":             {[]string{"--faults=senders are paused", "--troubles=disks are full"}, two},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			line, err := parse(c.args)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(line.options.FaultKinds, c.want) {
				t.Errorf("%v are parsed as %v, want %v", c.args, line.options.FaultKinds, c.want)
			}
		})
	}
	if _, err := parse([]string{"--faults", "no such kind"}); err == nil {
		t.Error("an unknown kind is accepted")
	}
}
