package server

import (
	"context"
	"fmt"

	"github.com/rs/zerolog"

	"peppervale/internal/cluster"
	"peppervale/internal/config"
	"peppervale/internal/controller"
)

// Environment is what an instance is handed by the process that it runs in. Every field may be left out.
type Environment struct {
	Reload     <-chan struct{}                // asks for the configuration to be read again
	LoadConfig func() (*config.Server, error) // reads it; needed with Reload
	LogLevel   *LevelFilter                   // follows the configuration's log level
	Links      cluster.Links                  // between cluster members; tests interrupt them
}

// ListenError is returned when the address for proxies cannot be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%v; another process may have the address", e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Serve runs one instance until the context is done. It then shuts down gracefully, within the configured grace period,
// and releases everything that it opened. Errors are those of starting: settings that the balancer rejects, the state
// store, a *ListenError, the cluster, the console. One of closing is logged and changes nothing.
func Serve(ctx context.Context, settings *config.Server, outside Environment, log zerolog.Logger) error {
	if err := controller.CheckConfig(settings.Balancer); err != nil {
		return err
	}
	inst := newInstance(settings, outside, log)
	err := inst.start()
	if err == nil {
		inst.operate(ctx)
		inst.shutDown()
	}
	if closeErr := inst.close(); closeErr != nil {
		log.Error().Err(closeErr).Msg("closing failed")
	}
	return err
}
