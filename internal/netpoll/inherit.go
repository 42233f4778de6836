package netpoll

import (
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

// Inherited sockets, by the protocol of systemd's socket activation: LISTEN_FDS descriptors from 3 on, meant for the process
// LISTEN_PID. Whoever starts governors holds the listening socket over their lives, so that a dial that falls between two of them
// waits in the kernel and is not refused. Both variables are taken out of the environment: a child is not meant.
var inherited = sync.OnceValue(func() map[string]*os.File {
	all := map[string]*os.File{}
	n, err := strconv.Atoi(os.Getenv("LISTEN_FDS"))
	pid, wrong := strconv.Atoi(os.Getenv("LISTEN_PID"))
	_ = os.Unsetenv("LISTEN_FDS")
	_ = os.Unsetenv("LISTEN_PID")
	if err != nil || wrong != nil || pid != os.Getpid() || n < 1 || n > 64 {
		return all
	}
	for fd := 3; fd < 3+n; fd++ {
		syscall.CloseOnExec(fd)
		file := os.NewFile(uintptr(fd), "inherited")
		l, err := net.FileListener(file)
		if err != nil { // not a listening stream socket: none of ours
			continue
		}
		all[l.Addr().String()] = file
		_ = l.Close()
	}
	return all
})

// open listens on an address: on the socket that was handed down for it, or on one of its own.
func open(network, address string) (net.Listener, error) {
	if file := inherited()[address]; file != nil {
		return net.FileListener(file)
	}
	return net.Listen(network, address)
}
