package console

import (
	"net/url"
	"slices"

	"peppervale/internal/cluster"
)

// clusterBody is the cluster's status, as far as this member knows it.
type clusterBody struct {
	Alone bool `json:"alone,omitempty"` // this controller is not a member of a cluster
	cluster.Status
}

func (s *Server) clusterPage(*pageModel, url.Values) any {
	if s.instance.Cluster == nil {
		return clusterBody{Alone: true}
	}
	body := clusterBody{Status: s.instance.Cluster()}
	body.Takeovers = slices.Clone(body.Takeovers)
	slices.Reverse(body.Takeovers) // newest first
	return body
}
