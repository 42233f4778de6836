package registry

import (
	"encoding/json"
	"strconv"
	"strings"

	"peppervale/internal/codec/consulcatalog"
	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/model"
)

// EndpointListJSON is the endpoint list as the JSON of Consul's health endpoint.
func (r *Registry) EndpointListJSON() []byte {
	all := []consulcatalog.ServiceEntry{}
	for _, entry := range r.entries {
		all = append(all, r.catalogEntry(entry))
	}
	body, err := json.Marshal(all)
	if err != nil {
		return []byte("[]") // plain texts always marshal
	}
	return body
}

func (r *Registry) catalogEntry(entry Entry) consulcatalog.ServiceEntry {
	address, portText, _ := strings.Cut(pubsubmsg.FormatAddress(entry.ID), ":")
	node := "node-" + portText
	id := r.service + "-" + portText
	listed := consulcatalog.ServiceEntry{
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
		listed.Service.Meta["started"] = strconv.FormatInt(int64(entry.StartedAt/model.Millisecond), 10)
	}
	if entry.Draining {
		listed.Checks = append(listed.Checks, consulcatalog.Check{
			Node:    node,
			CheckID: "_service_maintenance:" + id,
			Name:    "Service Maintenance Mode",
			Status:  "critical",
		})
	}
	return listed
}
