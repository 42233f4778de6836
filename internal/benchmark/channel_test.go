package benchmark

import "testing"

func TestChannelMeasuresEveryRound(t *testing.T) {
	result, err := Channel(5, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	if result.Proxies != 5 || result.Entries != 3 || result.Rounds != 4 {
		t.Errorf("%+v does not have the requested sizes", result)
	}
	if result.BytesPerRound <= 0 || result.Median <= 0 || result.P99 < result.Median || result.Raw.Median <= 0 {
		t.Errorf("%+v: a measurement is missing or not plausible", result)
	}
}

func TestConnectionStormWithoutRateLimitDefersNoProxy(t *testing.T) {
	result, err := ConnectionStorm(20, 0)
	if err != nil {
		t.Fatal(err)
	}
	if result.Deferrals != 0 || result.MaxDeferrals != 0 {
		t.Errorf("%d joins deferred without an admission rate", result.Deferrals)
	}
	if result.PeakJoins < 1 || result.PeakJoins > 20 {
		t.Errorf("%d joins of 20 proxies in the peak second", result.PeakJoins)
	}
}
