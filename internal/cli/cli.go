// Package cli implements the command line. Each command is a type with a Run method, which calls the package that
// implements the command. A renamed command keeps its former name as an alias. Flags, their environment variables and
// the exit statuses do not change once they are published.
package cli

import (
	"fmt"
	"io"
	"os"
)

// CommandLine is the whole command line. kong fills it and calls the Run method of the chosen command.
type CommandLine struct {
	Serve     Serve     `cmd:"" aliases:"governor" help:"Run an instance until a signal ends it."`
	Platform  Platform  `cmd:"" help:"Run an instance on the operators' platform, with the file that LB_CONFIG names."`
	Check     Check     `cmd:"" help:"Check an instance's or a scenario's file and list its errors."`
	Cluster   Cluster   `cmd:"" aliases:"group" help:"Show and control the instances of a cluster."`
	Console   Console   `cmd:"" help:"Show several instances side by side, from data of their consoles."`
	Scenario  Scenario  `cmd:"" aliases:"day" help:"Run scripted scenarios on loopback sockets."`
	StandIn   StandIn   `cmd:"" name:"standin" aliases:"stand" help:"Run one stand-in to try an instance by hand."`
	Benchmark Benchmark `cmd:"" aliases:"measure" help:"Benchmark parts of the program on this machine."`
	Version   Version   `cmd:"" help:"Print the version."`
}

// printf writes to a command's output. A failed write is ignored: the reader of the output may have closed it.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

// childCommand returns the command that starts this program again, followed by the given arguments.
func childCommand(args ...string) ([]string, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{executable}, args...), nil
}
