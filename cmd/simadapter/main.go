// Command simadapter runs balancers on the operators' simulator: it reads frames of events from standard input and
// writes replies with actions to standard output. It passes events to the balancers and writes their updates; it makes
// no decision itself. It exits with status 0 when the input ends between two frames, otherwise with status 1.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"peppervale/internal/codec/simulator"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers frames until the input ends. It returns an error for a malformed frame and for a failed read or write.
func run(input io.Reader, output io.Writer) error {
	reader := bufio.NewReaderSize(input, bufferSize)
	writer := bufio.NewWriterSize(output, bufferSize)
	instances := instanceSet{}
	for {
		batch, err := simulator.Read(reader)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := instances.handleBatch(batch)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply.Frame(batch.Number)); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
