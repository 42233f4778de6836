package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/config"
	"peppervale/internal/server"
)

// Platform is peppervale platform.
type Platform struct {
	Config string `help:"The platform's file, JSON." env:"LB_CONFIG" required:""`
	Log    string `help:"Least level of the log." default:"info" enum:"debug,info,warn,error"`
}

// endingMost is how long the end may take, from whatever state: the platform kills no sooner than 0.7 s after SIGTERM, and what is left
// undone then concerns nobody, as proxies have gone elsewhere on that signal.
const endingMost = 300 * time.Millisecond

// Run is the command. Once its context has ended it returns, or ends the process with status 0, within endingMost.
func (c *Platform) Run(ctx context.Context, out io.Writer) error {
	reload := reloads(ctx) // before anything else: one that comes early must not end the process
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
			return
		case <-ctx.Done():
		}
		select {
		case <-done:
		case <-time.After(endingMost):
			os.Exit(0)
		}
	}()
	p, err := config.LoadPlatform(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, _, err := server.NewLogger(out, c.Log)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	return server.ServePlatform(ctx, p, server.PlatformOutside{Reload: reload,
		LoadConfig: func() (*config.Platform, error) { return config.LoadPlatform(c.Config) }}, log)
}
