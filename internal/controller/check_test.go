package controller

import (
	"errors"
	"testing"

	"peppervale/internal/model"
)

func TestCheck(t *testing.T) {
	if err := CheckConfig(testConfig()); err != nil {
		t.Fatal(err)
	}
	for name, tt := range map[string]struct {
		change func(*model.Config)
		text   string
		is     error
	}{
		"no operations": {
			func(c *model.Config) { c.Operations = nil }, "0 operations; 1 to 16 are handled", nil,
		},
		"too many operations": {
			func(c *model.Config) { c.Operations = make([]model.Operation, 17) }, "17 operations; 1 to 16 are handled", nil,
		},
		"no zones": {func(c *model.Config) { c.Zones = 0 }, "no zones", ErrNoZones},
		"no report period": {
			func(c *model.Config) { c.ReportPeriod = 0 }, "the period and the queue must be above 0",
			ErrPeriodOrQueueNotPositive,
		},
		"no queue": {
			func(c *model.Config) { c.QueueLimit = 0 }, "the period and the queue must be above 0",
			ErrPeriodOrQueueNotPositive,
		},
	} {
		t.Run(name, func(t *testing.T) {
			config := testConfig()
			tt.change(&config)
			err := CheckConfig(config)
			if err == nil || err.Error() != tt.text {
				t.Fatalf("%v, want %s", err, tt.text)
			}
			var count *OperationCountError
			if tt.is == nil && (!errors.As(err, &count) || count.Count != len(config.Operations)) {
				t.Errorf("%#v is no OperationCountError of %d", err, len(config.Operations))
			}
			if tt.is != nil && !errors.Is(err, tt.is) {
				t.Errorf("%#v is not %#v", err, tt.is)
			}
		})
	}
}
