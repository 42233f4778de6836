package controller

import (
	"errors"
	"testing"

	"peppervale/internal/model"
)

func TestCheckConfigRejectsInvalidConfigs(t *testing.T) {
	if err := CheckConfig(testConfig()); err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		change    func(*model.Config)
		wantText  string
		wantError error
	}{
		"no operations": {
			func(c *model.Config) { c.Operations = nil }, "0 operations are configured; 1 to 16 are supported", nil,
		},
		"too many operations": {
			func(c *model.Config) { c.Operations = make([]model.Operation, 17) },
			"17 operations are configured; 1 to 16 are supported", nil,
		},
		"no zones": {func(c *model.Config) { c.Zones = 0 }, "no zones are configured", ErrNoZones},
		"no report period": {
			func(c *model.Config) { c.ReportPeriod = 0 }, "the report period and the queue limit must be above 0",
			ErrPeriodOrQueueNotPositive,
		},
		"no queue limit": {
			func(c *model.Config) { c.QueueLimit = 0 }, "the report period and the queue limit must be above 0",
			ErrPeriodOrQueueNotPositive,
		},
	} {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			tt.change(&config)
			err := CheckConfig(config)
			if err == nil || err.Error() != tt.wantText {
				t.Fatalf("got error %v, want %s", err, tt.wantText)
			}
			var count *OperationCountError
			if tt.wantError == nil && (!errors.As(err, &count) || count.Count != len(config.Operations)) {
				t.Errorf("got %#v, want an OperationCountError of %d", err, len(config.Operations))
			}
			if tt.wantError != nil && !errors.Is(err, tt.wantError) {
				t.Errorf("got %#v, want %#v", err, tt.wantError)
			}
		})
	}
}
