// Command simadapter runs dispatchers for the simulator: it reads batches from standard input and writes replies to
// standard output. It only translates between the two and makes no decisions. The deploy file names it as the program
// that the simulator starts.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run handles batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, bufferSize)
	w := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	for n := 0; ; n++ {
		more, err := h.handleBatch(r, w)
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
