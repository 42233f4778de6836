package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"peppervale/daemon"
	"peppervale/site"
)

// Platform is peppervale platform.
type Platform struct {
	Config string `help:"The platform's file, JSON." env:"LB_CONFIG" required:""`
	Log    string `help:"Least level of the log." default:"info" enum:"debug,info,warn,error"`
}

// Run is the command.
func (c *Platform) Run(ctx context.Context, out io.Writer) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // before anything else: one that comes early must not end the process
	defer signal.Stop(hangup)
	p, err := site.OpenPlatform(c.Config)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log, _, err := daemon.NewLog(out, c.Log)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInput, err)
	}
	reload := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				select {
				case reload <- struct{}{}:
				default: // one is waiting already, and will read the file as it is then
				}
			}
		}
	}()
	return daemon.ServePlatform(ctx, p, daemon.PlatformOutside{Reload: reload,
		Read: func() (*site.Platform, error) { return site.OpenPlatform(c.Config) }}, log)
}
