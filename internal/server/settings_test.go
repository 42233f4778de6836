package server

import "testing"

// A reload applies a setting that can change while the instance runs. It rejects a setting that needs a restart, and an
// invalid file, and logs the reason. The console shows the active settings after each step.
func TestReloadAppliesOnlySettingsThatNeedNoRestart(t *testing.T) {
	bed := newTestbed(t, 1)
	bed.start()
	bed.waitForLog(`"serving"`)
	tests := []struct{ name, channel, wantLog, wantIntake string }{
		{"setting that can change", "intake = 77", "intake: 77, was 500", "77 sums a second"},
		{
			"setting that needs a restart", "intake = 88\n  pace = 5",
			"queued updates were scheduled with the old rate", "77 sums a second",
		},
		{"invalid file", "intake = ", "loading the file failed", "77 sums a second"},
		{"setting that can change, after rejected reloads", "intake = 99", "intake: 99, was 77", "99 sums a second"},
	}
	for _, tt := range tests { // each step begins with the settings that the previous step left active
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
