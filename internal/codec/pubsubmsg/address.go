package pubsubmsg

import (
	"net/netip"

	"peppervale/internal/model"
)

// FormatAddress formats a replica's id as an IPv4 address with a port.
func FormatAddress(id model.ReplicaID) string {
	return netip.AddrPortFrom(netip.AddrFrom4(id.Addr), id.Port).String()
}

// ParseAddress parses an IPv4 address with a port above 0. Its error is a *ParseError.
func ParseAddress(text string) (model.ReplicaID, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return model.ReplicaID{}, parseErrorf("address", "%.60q is no IPv4 address with a port", text)
	}
	return model.ReplicaID{Addr: address.Addr().As4(), Port: address.Port()}, nil
}
