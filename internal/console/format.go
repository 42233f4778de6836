package console

import (
	"fmt"
	"strconv"
	"time"

	"peppervale/internal/model"
)

const (
	// Ages below maxPreciseAge are shown in tenths of a second, ages below maxSecondsAge in seconds.
	maxPreciseAge = 10 * time.Second
	maxSecondsAge = 2 * time.Hour
)

// FormatAge returns the age of a time as text. A time of 0 means "never".
func FormatAge(now, at model.Microseconds) string {
	if at == 0 {
		return "never"
	}
	age := (now - at).Duration()
	switch {
	case age < 0:
		return "now"
	case age < maxPreciseAge:
		return fmt.Sprintf("%.1f s ago", age.Seconds())
	case age < maxSecondsAge:
		return age.Round(time.Second).String() + " ago"
	default:
		return age.Round(time.Minute).String() + " ago"
	}
}

func formatPercent(ratio float64) string {
	return strconv.FormatFloat(100*ratio, 'f', 0, 64) + "%"
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'g', 3, 64)
}

func toSeconds(duration model.Microseconds) float64 {
	return float64(duration) / float64(model.Second)
}

// nameOrIndex returns the name at an index, or the index as text if there is no such name.
func nameOrIndex(names []string, index int) string {
	if index >= 0 && index < len(names) {
		return names[index]
	}
	return strconv.Itoa(index)
}
