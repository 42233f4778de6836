package benchmark

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"

	"peppervale/internal/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestAwaitNamesItsConditionWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := await(ctx, "nothing", func() bool { return false })
	var timeout *TimeoutError
	if !errors.As(err, &timeout) || timeout.Condition != "nothing" {
		t.Errorf("got %v, want a TimeoutError with the condition \"nothing\"", err)
	}
}

func TestReservedAddressesDiffer(t *testing.T) {
	const count = 20
	addresses, err := reserveAddresses(count)
	if err != nil {
		t.Fatal(err)
	}
	distinct := map[string]bool{}
	for _, address := range addresses {
		distinct[address] = true
	}
	if len(distinct) != count {
		t.Errorf("%d of %d addresses are distinct, want all", len(distinct), count)
	}
}

func TestQuantileAndMedianReturnExactRanks(t *testing.T) {
	var values []model.Microseconds
	var durations []time.Duration
	for k := 100; k >= 0; k-- {
		durations = append(durations, time.Duration(k))
		values = append(values, model.Microseconds(100-k))
	}
	for _, tt := range []struct {
		name      string
		got, want time.Duration
	}{
		{"median", quantile(values, 0.5), 50 * time.Microsecond},
		{"99th percentile", quantile(values, 0.99), 99 * time.Microsecond},
		{"maximum", quantile(values, 1), 100 * time.Microsecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.got != tt.want {
				t.Errorf("got %s, want %s", tt.got, tt.want)
			}
		})
	}
	if median, p99 := medianAndP99(durations); median != 50 || p99 != 99 {
		t.Errorf("got median %d and 99th percentile %d of unsorted durations, want 50 and 99", median, p99)
	}
}
