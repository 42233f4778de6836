package benchmark

import "testing"

func TestChannelMeasuresEveryRound(t *testing.T) {
	result, err := Channel(5, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	if result.Proxies != 5 || result.Entries != 3 || result.Rounds != 4 {
		t.Errorf("result %+v: want 5 proxies, 3 entries and 4 rounds", result)
	}
	if result.BytesPerRound <= 0 || result.Median <= 0 || result.P99 < result.Median || result.Raw.Median <= 0 {
		t.Errorf("result %+v: want sizes and durations above 0 and a P99 of at least the median", result)
	}
}

func TestConnectionStormWithoutRateLimitDefersNoProxy(t *testing.T) {
	result, err := ConnectionStorm(20, 0)
	if err != nil {
		t.Fatal(err)
	}
	if result.Deferrals != 0 || result.MaxDeferrals != 0 {
		t.Errorf("%d joins were deferred without an admission rate, want 0", result.Deferrals)
	}
	if result.PeakJoins < 1 || result.PeakJoins > 20 {
		t.Errorf("%d joins of 20 proxies in the peak second, want 1 to 20", result.PeakJoins)
	}
}
