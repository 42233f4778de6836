package connserver

import (
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// ProxyEvents receives the events of proxies and collectors, independent of the protocol. Its methods are called from
// network goroutines. They must not block and must not call the server, unless the server's package allows it.
//
// A stream is one connection of one proxy and has a unique number. The events of a stream are ordered: ProxyConnected
// comes first, ProxyDisconnected comes last and at most once. A stream that was replaced by the proxy's next stream may
// end without ProxyDisconnected; ProxyConnected of the next stream then implies its end.
type ProxyEvents interface {
	ProxyConnected(proxy model.ProxyID, stream uint64, join pubsubmsg.Join, zone int)
	ProxyDisconnected(proxy model.ProxyID, stream uint64)
	Acknowledged(proxy model.ProxyID, stream uint64, ackSequence uint32)
	LoadReported(zone int, reports []model.LoadReport)
}
