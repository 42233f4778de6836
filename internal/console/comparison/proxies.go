package comparison

import (
	"fmt"

	"peppervale/internal/model"
)

const (
	// maxMissingTime is how long a proxy that is connected nowhere is reported. A proxy that is missing for longer was
	// removed or renamed.
	maxMissingTime = 120 * model.Second

	// maxKnownProxies bounds the proxies whose last connection is recorded.
	maxKnownProxies = 20_000
)

// compareProxies returns the disagreements about the controllers that proxies are connected to. A proxy is reported as
// connected nowhere only if the views of all controllers are recent.
func (t *tracker) compareProxies(
	now model.Microseconds, controllers []polledController, allRecent bool,
) []disagreement {
	var found []disagreement
	for name, sides := range t.connections(now, controllers) {
		if len(sides) > 1 {
			found = append(found, disagreement{Kind: connectedTwice, Subject: name, Sides: sides})
		}
	}
	for name, connectedAt := range t.connectedAt {
		switch {
		case now-connectedAt > maxMissingTime:
			delete(t.connectedAt, name)
		case allRecent && connectedAt < now:
			found = append(found, disagreement{Kind: connectedNowhere, Subject: name, Sides: []side{}})
		}
	}
	return found
}

// connections returns the controllers that each proxy is connected to, by the proxy's name, and records the time of the
// proxies' last connections.
func (t *tracker) connections(now model.Microseconds, controllers []polledController) map[string][]side {
	connections := map[string][]side{}
	for _, controller := range controllers {
		for name, proxy := range controller.view.proxies {
			report := side{Controller: controller.view.name, Report: "on " + proxy.tableName("its own tables")}
			connections[name] = append(connections[name], report)
			_, known := t.connectedAt[name]
			if known || len(t.connectedAt) < maxKnownProxies {
				t.connectedAt[name] = now
			}
		}
	}
	return connections
}

// tableName returns the name of the table that the proxy uses, or ownTables if it uses tables of its own.
func (p reportedProxy) tableName(ownTables string) string {
	if p.Table < 0 {
		return ownTables
	}
	return fmt.Sprintf("table %d", p.Table)
}
