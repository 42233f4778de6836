package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// reloadRequests passes SIGHUP on until the context is done. A signal that comes while another waits adds nothing, as
// the file is then read as it is. SIGHUP stays caught to the end of the process: with its default action restored, one
// that comes during the shutdown would kill it.
func reloadRequests(ctx context.Context) <-chan struct{} {
	hangups := make(chan os.Signal, 1)
	requests := make(chan struct{}, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				select {
				case requests <- struct{}{}:
				default:
				}
			}
		}
	}()
	return requests
}
