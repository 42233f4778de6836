package simulator

import (
	"strings"
	"testing"

	"peppervale/internal/model"
)

const testSettings = `{"zones":["a","b"],"membership_mode":"subscribe",
	"classes":[{"on_time":500,"credit":2,"effect":"x"}],
	"extra":{"admission":"ratio","period":1000,"pending_max":6000,"overhead":6,"unknown":[1]},
	"stats":{"how":"piggyback","fields":["busy_reqs","cpu_share"]},"guarantees":{"cold":17000},
	"prices":{"cross_zone":0.08},"new":{}}`

// editedSettings returns testSettings after replacing the first occurrence of old.
func editedSettings(old, replacement string) []byte {
	return []byte(strings.Replace(testSettings, old, replacement, 1))
}

func TestParseSettingsReturnsConfig(t *testing.T) {
	config, err := ParseSettings(1, []byte(testSettings))
	if err != nil || config.Zones != 2 || !config.AdmissionControl || !config.SubscriptionRequired ||
		config.UtilizationField != 1 || config.Operations[0].LatencyObjective != 500000 ||
		config.WarmUpPeriod != 17*model.Second || config.QueueLimit != 6000 {
		t.Fatalf("got configuration %+v, error %v", config, err)
	}
	if config, _ := ParseSettings(1, editedSettings("ratio", "rps")); config.AdmissionControl || config.FullQuota < 1e9 {
		t.Fatal("quotas are rates, but the full quota does not admit all requests")
	}
	config, err = ParseSettings(1, editedSettings(`"unknown":[1]`, `"class_own_zone":[true]`))
	if err != nil || config.ZoneLocalOperations != 1 {
		t.Fatalf("zone-local operation: got configuration %+v, error %v", config, err)
	}
}

func TestParseSettingsRejectsInvalidSettings(t *testing.T) {
	for name, edit := range map[string][2]string{
		"more zone flags than classes": {`"unknown":[1]`, `"class_own_zone":[false,true]`},
		"a period of years":            {`"period":1000`, `"period":1e300`},
		"empty settings":               {testSettings, ""},
		"no classes":                   {`"classes"`, `"lasses"`},
		"zero latency objective":       {"500", "0"},
		"negative period":              {`"period":1000`, `"period":-1`},
		"zero queue limit":             {"6000", "0"},
		"no zones":                     {`["a","b"]`, "[]"},
		"slices":                       {`"unknown":[1]`, `"slices":4`},
		"message limit without window": {`"unknown":[1]`, `"reloads_max":12`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseSettings(1, editedSettings(edit[0], edit[1])); err == nil {
				t.Fatal("invalid settings are accepted")
			}
		})
	}
}
