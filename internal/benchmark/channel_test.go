package benchmark

import "testing"

func TestChannelMeasuresEveryRound(t *testing.T) {
	result, err := Channel(5, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	if result.Proxies != 5 || result.Entries != 3 || result.Rounds != 4 {
		t.Errorf("%+v is not of the size asked for", result)
	}
	if result.BytesPerRound <= 0 || result.Median <= 0 || result.P99 < result.Median || result.Raw.Median <= 0 {
		t.Errorf("%+v lacks a measurement", result)
	}
}

func TestStormAdmitsAllProxies(t *testing.T) {
	result, err := ConnectionStorm(20, 0)
	if err != nil {
		t.Fatal(err)
	}
	if result.Deferrals != 0 || result.MaxDeferrals != 0 {
		t.Errorf("%d proxies deferred without an admission rate", result.Deferrals)
	}
	if result.PeakJoins < 1 || result.PeakJoins > 20 {
		t.Errorf("%d of 20 proxies joined in the busiest second", result.PeakJoins)
	}
}
