package server

import "testing"

// A configuration that changes in operation is applied, one that cannot be is rejected with its reason, and a broken
// one too; after each the settings before or the new ones are in force, as the console's page shows.
func TestReload(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.start()
	bed.waitForLog(`"serving"`)
	tests := []struct{ name, channel, wantLog, wantIntake string }{
		{"a setting that can change", "intake = 77", "intake: 77, was 500", "77 sums a second"},
		{
			"one that cannot change", "intake = 88\n  pace = 5",
			"queued updates were scheduled with the old rate", "77 sums a second",
		},
		{"a broken file", "intake = ", "the file cannot be read", "77 sums a second"},
		{"a setting that can change, after those", "intake = 99", "intake: 99, was 77", "99 sums a second"},
	}
	for _, tt := range tests { // each begins with the settings that the one before left in force
		t.Logf("step: %s", tt.name)
		bed.writeConfiguration(bed.configuration(tt.channel))
		bed.reload <- struct{}{}
		bed.waitForLog(tt.wantLog)
		var settings [][2]string
		bed.waitForPage("/settings?as=json", &settings, func() bool {
			for _, setting := range settings {
				if setting[0] == "intake" {
					return setting[1] == tt.wantIntake
				}
			}
			return false
		})
	}
}
