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
	// WeightShares are the shares of the zone's expected rate that its tables send to the replicas of each zone, by the
	// name of the replicas' zone.
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

// addWeightShares sets the weight shares of all rows. A table counts in proportion to its expected rate.
func (s *Server) addWeightShares(rows []zoneRow, view *balancer.View) {
	zoneByAddress := map[string]string{}
	for _, replica := range view.Replicas {
		zoneByAddress[pubsubmsg.FormatAddress(replica.ID)] = s.zoneName(replica.Zone)
	}
	totalRates := make([]float64, len(rows))
	for _, table := range view.Tables {
		if table.Zone >= len(rows) {
			continue
		}
		totalRates[table.Zone] += table.ExpectedRate
		for _, entry := range s.entryRows(view, table) {
			rows[table.Zone].WeightShares[zoneByAddress[entry.Replica]] += entry.Share * table.ExpectedRate
		}
	}
	for i := range rows {
		for target := range rows[i].WeightShares {
			if totalRates[i] > 0 {
				rows[i].WeightShares[target] /= totalRates[i]
			}
		}
	}
}
