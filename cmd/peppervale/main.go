// Command peppervale runs a governor, checks files, and plays scripted days. It reads its command line and calls one
// room; docs/running.md is its page.
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

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run gives the exit status: 0 done; 1 it ran, and a rule broke or it failed on the way; 2 input that cannot be used.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	var line cli.Line
	parser, err := kong.New(&line, kong.Name("peppervale"), kong.Writers(out, errs), kong.UsageOnError(),
		kong.Description("Publishes weights to plain proxies."), kong.BindTo(ctx, (*context.Context)(nil)), kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintln(errs, "peppervale:", err)
		return 2
	}
	parsed, err := parser.Parse(args)
	if err == nil {
		err = parsed.Run()
	} else {
		err = fmt.Errorf("%w: %w; try peppervale --help", cli.ErrInput, err)
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, cli.ErrBroken):
	default:
		fmt.Fprintln(errs, "peppervale:", err)
	}
	if errors.Is(err, cli.ErrInput) {
		return 2
	}
	return 1
}
