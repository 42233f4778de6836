package consulcatalog

import (
	"testing"

	"peppervale/internal/model"
)

func TestMaintenanceOutranksCriticalChecks(t *testing.T) {
	passing := Check{CheckID: "serfHealth", Status: "passing"}
	critical := Check{CheckID: "serfHealth", Status: "critical"}
	nodeMaintenance := Check{CheckID: "_node_maintenance", Status: "critical"}
	serviceMaintenance := Check{CheckID: "_service_maintenance:recipe-1", Status: "critical"}
	tests := map[string]struct {
		checks []Check
		want   model.EndpointStatus
	}{
		"no checks":                         {nil, model.EndpointReady},
		"passing check":                     {[]Check{passing}, model.EndpointReady},
		"one critical check of two":         {[]Check{critical, passing}, model.EndpointGone},
		"node in maintenance":               {[]Check{passing, nodeMaintenance}, model.EndpointDraining},
		"critical check before maintenance": {[]Check{critical, serviceMaintenance}, model.EndpointDraining},
		"critical check after maintenance":  {[]Check{serviceMaintenance, critical}, model.EndpointDraining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := statusOf(test.checks); got != test.want {
				t.Errorf("status %d, want %d", got, test.want)
			}
		})
	}
}
