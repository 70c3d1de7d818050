// Command saffronyard is the real sender: it reads its configuration, listens, and serves until SIGTERM. SIGHUP
// makes it read the configuration again.
package main

import (
	"os"

	"dockshift.example/dockshift/internal/sender"
)

func main() {
	log := sender.NewLogger()
	if err := sender.RunProcess(sender.OperatingSystem(), log); err != nil {
		log.Error("saffronyard", "err", err)
		os.Exit(1)
	}
}
