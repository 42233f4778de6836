package connserver

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// ProxyEvents receives what proxies and collectors send, whichever protocol they speak. It is called from network
// goroutines and must neither block nor call the server from within, unless the server's package says otherwise.
//
// A stream is one connection of one proxy and has a new number each time. The events of a stream come in order:
// ProxyConnected first, ProxyDisconnected last and at most once. A stream that the proxy's next one has replaced may
// end without ProxyDisconnected; ProxyConnected of the next one then stands for it.
type ProxyEvents interface {
	ProxyConnected(proxy model.ProxyID, stream uint64, join pubsubmsg.Join, zone int)
	ProxyDisconnected(proxy model.ProxyID, stream uint64)
	Acknowledged(proxy model.ProxyID, stream uint64, ackSequence uint32)
	LoadReported(zone int, reports []model.LoadReport)
}
