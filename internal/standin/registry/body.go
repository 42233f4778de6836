package registry

import (
	"encoding/json"
	"strconv"
	"strings"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// EndpointListJSON returns the endpoint list as JSON in the format of Consul's health endpoint.
func (r *Registry) EndpointListJSON() []byte {
	catalog := []consulcatalog.ServiceEntry{}
	for _, entry := range r.entries {
		catalog = append(catalog, r.catalogEntry(entry))
	}
	body, err := json.Marshal(catalog)
	if err != nil {
		return []byte("[]") // cannot happen: the entries have only strings and numbers
	}
	return body
}

func (r *Registry) catalogEntry(entry Entry) consulcatalog.ServiceEntry {
	address, portText, _ := strings.Cut(pubsubmsg.FormatAddress(entry.ID), ":")
	node := "node-" + portText
	id := r.service + "-" + portText
	catalogEntry := consulcatalog.ServiceEntry{
		Node: consulcatalog.Node{Node: node, Address: address},
		Service: consulcatalog.Service{
			ID:      id,
			Service: r.service,
			Address: address,
			Port:    int(entry.ID.Port),
			Meta:    map[string]string{"zone": entry.Zone, "cell": entry.DeduplicationGroup, "kind": entry.Kind},
		},
		Checks: []consulcatalog.Check{
			{Node: node, CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"},
		},
	}
	if entry.StartedAt > 0 {
		catalogEntry.Service.Meta["started"] = strconv.FormatInt(int64(entry.StartedAt/model.Millisecond), 10)
	}
	if entry.Draining {
		catalogEntry.Checks = append(catalogEntry.Checks, consulcatalog.Check{
			Node:    node,
			CheckID: "_service_maintenance:" + id,
			Name:    "Service Maintenance Mode",
			Status:  "critical",
		})
	}
	return catalogEntry
}
