// Package cli is the command line: a type for each command, with a Run method that calls the package which does the
// work. A command that was renamed keeps its former name as an alias; flags, their environment variables and the exit
// statuses stay as they were published.
package cli

import (
	"fmt"
	"io"
	"os"
)

// CommandLine is the whole command line. kong fills it and calls the Run method of the chosen command.
type CommandLine struct {
	Serve     Serve     `cmd:"" aliases:"governor" help:"Run an instance until a signal ends it."`
	Platform  Platform  `cmd:"" help:"Run an instance on the operators' platform, by its file (LB_CONFIG)."`
	Check     Check     `cmd:"" help:"Read an instance's or a scenario's file, list its errors, start nothing."`
	Cluster   Cluster   `cmd:"" aliases:"group" help:"Show and control the instances of a cluster."`
	Console   Console   `cmd:"" help:"Show several instances side by side, from their own consoles."`
	Scenario  Scenario  `cmd:"" aliases:"day" help:"Run scripted scenarios on loopback sockets."`
	StandIn   StandIn   `cmd:"" name:"standin" aliases:"stand" help:"Run one stand-in, to try an instance by hand."`
	Benchmark Benchmark `cmd:"" aliases:"measure" help:"Time parts of the program on this machine."`
	Version   Version   `cmd:"" help:"Print the version."`
}

// printf writes to a command's output. A failed write is no failure of the command: the reader may have
// closed it.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// childProgram returns the command that starts this program again, followed by the given arguments.
func childProgram(args ...string) ([]string, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{executable}, args...), nil
}
