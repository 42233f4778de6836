package cli

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/config"
	"peppervale/internal/server"
)

// shutdownTimeout limits the duration of a shutdown, in every state of the instance. The platform kills the process
// 0.7 s after SIGTERM at the earliest. Unfinished work is not needed: at the signal, proxies connect to another
// instance.
const shutdownTimeout = 300 * time.Millisecond

// Platform is the command `peppervale platform`.
type Platform struct {
	Config string `help:"Configuration file from the platform (JSON)." env:"LB_CONFIG" required:""`
	Log    string `help:"Minimum level of the log." default:"info" enum:"debug,info,warn,error"`
}

// Run runs an instance on the operators' platform until the context is done. Within shutdownTimeout after that, it
// returns or exits the process with status 0.
func (c *Platform) Run(ctx context.Context, out io.Writer) error {
	reload := reloadRequests(ctx) // before all other work: an early SIGHUP must not end the process
	finished := make(chan struct{})
	defer close(finished)
	go exitAfterTimeout(ctx, finished)
	settings, err := config.LoadPlatform(c.Config)
	if err != nil {
		return NewInputError(err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, _, err := server.NewLogger(out, c.Log)
	if err != nil {
		return NewInputError(err)
	}
	return server.ServePlatform(ctx, settings, server.PlatformEnvironment{
		Reload:     reload,
		LoadConfig: func() (*config.Platform, error) { return config.LoadPlatform(c.Config) },
	}, log)
}

// exitAfterTimeout exits the process with status 0 if the command has not finished shutdownTimeout after its context is
// done.
func exitAfterTimeout(ctx context.Context, finished <-chan struct{}) {
	select {
	case <-finished:
		return
	case <-ctx.Done():
	}
	select {
	case <-finished:
	case <-time.After(shutdownTimeout):
		os.Exit(0)
	}
}
