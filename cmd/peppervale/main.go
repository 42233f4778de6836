// Command peppervale runs an instance of the control plane, checks files, and runs scripted scenarios. It parses its
// command line and calls package cli; docs/running.md describes its use.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"peppervale/internal/cli"
)

// Exit statuses.
const (
	statusSuccess      = 0
	statusFailed       = 1 // the command failed, or an invariant was violated
	statusInvalidInput = 2 // the command line or a file is invalid
)

func main() {
	// The signals are caught until the process exits: with the default action restored, a second signal after a
	// graceful shutdown would replace the exit status.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs a command line and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parser, err := newParser(ctx, out, errOut)
	if err != nil {
		printError(errOut, err)
		return statusInvalidInput
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		err = cli.NewInputError(fmt.Errorf("%w; try peppervale --help", err))
	} else {
		err = parsed.Run()
	}
	if err != nil && !errors.Is(err, cli.ErrInvariantViolated) { // the report of the violation is already written
		printError(errOut, err)
	}
	return exitStatus(err)
}

func newParser(ctx context.Context, out, errOut io.Writer) (*kong.Kong, error) {
	return kong.New(
		&cli.CommandLine{},
		kong.Name("peppervale"),
		kong.Description("Publishes weights to plain proxies."),
		kong.Writers(out, errOut),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(out, (*io.Writer)(nil)),
	)
}

func exitStatus(err error) int {
	var inputError *cli.InputError
	switch {
	case err == nil:
		return statusSuccess
	case errors.As(err, &inputError):
		return statusInvalidInput
	}
	return statusFailed
}

// printError writes an error. A failed write is ignored, as the exit status reports the error too.
func printError(errOut io.Writer, err error) {
	_, _ = fmt.Fprintln(errOut, "peppervale:", err)
}
