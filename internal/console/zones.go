package console

import (
	"net/url"

	"peppervale/internal/balancer"
	"peppervale/internal/codec/pubsubmsg"
)

// zoneRow is a zone: its proxies and replicas, and the zones that its tables send requests to.
type zoneRow struct {
	Zone            string         `json:"zone"`
	Proxies         int            `json:"forwarders"`
	ExpectedRate    float64        `json:"usual_rate"`
	ReplicasByState map[string]int `json:"replicas_by_state"`
	// WeightShares are the shares of each target zone, by the weights of the tables' entries and the expected rates of
	// the tables' proxies.
	WeightShares map[string]float64 `json:"weight_share_by_zone"`
}

func (s *Server) zonesPage(page *pageModel, _ url.Values) any {
	view := page.View.Detail.Balancer
	rows := make([]zoneRow, len(s.instance.Zones))
	for i, name := range s.instance.Zones {
		rows[i] = zoneRow{Zone: name, ReplicasByState: map[string]int{}, WeightShares: map[string]float64{}}
	}
	for _, replica := range view.Replicas {
		if replica.Zone < len(rows) {
			rows[replica.Zone].ReplicasByState[replica.State]++
		}
	}
	for _, proxy := range view.Proxies {
		if proxy.Zone < len(rows) {
			rows[proxy.Zone].Proxies++
			rows[proxy.Zone].ExpectedRate += proxy.ExpectedRate
		}
	}
	s.addWeightShares(rows, view)
	return rows
}

// addWeightShares sets the weight shares of the zones that each zone's tables send requests to.
func (s *Server) addWeightShares(rows []zoneRow, view *balancer.View) {
	zoneOf := map[string]string{}
	for _, replica := range view.Replicas {
		zoneOf[pubsubmsg.FormatAddress(replica.ID)] = s.zoneName(replica.Zone)
	}
	tableRates := make([]float64, len(rows))
	for _, table := range view.Tables {
		if table.Zone >= len(rows) {
			continue
		}
		tableRates[table.Zone] += table.ExpectedRate
		for _, entry := range s.entryRows(view, table) {
			rows[table.Zone].WeightShares[zoneOf[entry.Replica]] += entry.Share * table.ExpectedRate
		}
	}
	for i := range rows {
		for target := range rows[i].WeightShares {
			if tableRates[i] > 0 {
				rows[i].WeightShares[target] /= tableRates[i]
			}
		}
	}
}
