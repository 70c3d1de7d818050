// Command simadapter hosts instances of the decision module on the simulator's wire: batches come on standard
// input, replies go to standard output. It translates and decides nothing. The deploy file names it as the
// program that the simulator starts.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

// bufferSize of the input and of the output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run plays batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	for n := 0; ; n++ {
		more, err := h.round(r, w)
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if !more {
			return nil
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
		}
	}
}
