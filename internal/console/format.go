package console

import (
	"fmt"
	"strconv"
	"time"

	"peppervale/internal/model"
)

const (
	// Ages below maxPreciseAge have tenths of a second, those below maxSecondsAge seconds.
	maxPreciseAge = 10 * time.Second
	maxSecondsAge = 2 * time.Hour
)

// FormatAge returns how long ago a time was, for readers. A time of 0 never was.
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

// nameOf returns the name at a place, or the place as a number if there is none.
func nameOf(names []string, place int) string {
	if place >= 0 && place < len(names) {
		return names[place]
	}
	return strconv.Itoa(place)
}
