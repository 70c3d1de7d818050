// Command sender is the real sender: it reads its configuration, listens, and serves until SIGTERM. SIGHUP
// makes it read the configuration again.
package main

import (
	"os"

	"onyxdyke.example/onyxdyke/internal/sender"
)

func main() {
	if sender.RunProcess(sender.OperatingSystem()) != nil { // it has logged why
		os.Exit(1)
	}
}
