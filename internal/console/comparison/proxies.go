package comparison

import (
	"fmt"

	"peppervale/internal/model"
)

const (
	// maxMissingTime is how long a proxy that is connected nowhere is reported. A proxy that is missing for longer was
	// removed or renamed.
	maxMissingTime = 120 * model.Second

	// maxKnownProxies bounds the proxies that are tracked.
	maxKnownProxies = 20_000
)

// compareProxies returns the disagreements about the controllers that proxies are connected to. A proxy is reported as
// connected nowhere only if the views of all controllers are recent.
func (t *tracker) compareProxies(
	now model.Microseconds, controllers []polledController, allRecent bool,
) []disagreement {
	var disagreements []disagreement
	for name, sides := range t.connections(now, controllers) {
		if len(sides) > 1 {
			disagreements = append(disagreements, disagreement{Kind: connectedTwice, Subject: name, Sides: sides})
		}
	}
	for name, connectedAt := range t.lastConnectedAt {
		switch {
		case now-connectedAt > maxMissingTime:
			delete(t.lastConnectedAt, name)
		case allRecent && connectedAt < now:
			disagreements = append(disagreements, disagreement{Kind: connectedNowhere, Subject: name, Sides: []side{}})
		}
	}
	return disagreements
}

// connections returns the controllers that each proxy is connected to, by the proxy's name, and records the time at
// which the proxies were reported as connected.
func (t *tracker) connections(now model.Microseconds, controllers []polledController) map[string][]side {
	connections := map[string][]side{}
	for _, controller := range controllers {
		for name, proxy := range controller.view.proxies {
			newSide := side{Controller: controller.view.name, Report: "on " + proxy.tableName("its own tables")}
			connections[name] = append(connections[name], newSide)
			_, known := t.lastConnectedAt[name]
			if known || len(t.lastConnectedAt) < maxKnownProxies {
				t.lastConnectedAt[name] = now
			}
		}
	}
	return connections
}

// tableName returns the name of the table that the proxy is bound to, or unboundText if it is bound to none.
func (p reportedProxy) tableName(unboundText string) string {
	if p.Table < 0 {
		return unboundText
	}
	return fmt.Sprintf("table %d", p.Table)
}
