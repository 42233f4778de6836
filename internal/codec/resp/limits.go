package resp

// Limits bounds what one message may contain. A zero or negative field takes its value from DefaultLimits.
type Limits struct {
	Depth        int // nesting depth of aggregates
	Items        int // values in one message, including nested ones
	StringBytes  int // bytes of one string
	MessageBytes int // bytes of one message
}

// DefaultLimits suits peers that send commands and load reports. A message within it has room for several tables of
// 2,000 entries.
var DefaultLimits = Limits{Depth: 8, Items: 100_000, StringBytes: 1 << 20, MessageBytes: 4 << 20}

// withDefaults replaces the fields that are not set.
func (l Limits) withDefaults() Limits {
	return Limits{
		Depth:        positiveOr(l.Depth, DefaultLimits.Depth),
		Items:        positiveOr(l.Items, DefaultLimits.Items),
		StringBytes:  positiveOr(l.StringBytes, DefaultLimits.StringBytes),
		MessageBytes: positiveOr(l.MessageBytes, DefaultLimits.MessageBytes),
	}
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
