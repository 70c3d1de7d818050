// Command sender runs one message sender: it reads its configuration, accepts messages of clients and delivers them
// until SIGTERM. SIGHUP makes it read the configuration again.
package main

import (
	"os"

	"onyxdyke.example/onyxdyke/internal/sender"
)

func main() {
	if sender.RunProcess(sender.OperatingSystem()) != nil { // RunProcess has logged the error
		os.Exit(1)
	}
}
