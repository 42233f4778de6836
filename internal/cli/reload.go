package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// reloadRequests returns a channel that receives an element for each SIGHUP until the context is done. A signal is
// dropped while an earlier request is pending: that reload will read the current file. SIGHUP is caught until the
// process exits: with the default action restored, a SIGHUP during the shutdown would kill the process.
func reloadRequests(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	requests := make(chan struct{}, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case requests <- struct{}{}:
				default:
				}
			}
		}
	}()
	return requests
}
