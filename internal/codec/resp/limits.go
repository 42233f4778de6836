package resp

// Limits bounds what one message may contain. A zero or negative field takes its value from DefaultLimits.
type Limits struct {
	Depth   int // nesting depth of aggregates
	Items   int // values in one message, nested ones included
	Bulk    int // bytes of one string
	Message int // bytes of one message
}

// DefaultLimits suits peers that send commands and load reports: a table of 2,000 entries fits many times over.
var DefaultLimits = Limits{Depth: 8, Items: 100_000, Bulk: 1 << 20, Message: 4 << 20}

// withDefaults replaces the fields that are not set.
func (l Limits) withDefaults() Limits {
	return Limits{
		Depth:   positiveOr(l.Depth, DefaultLimits.Depth),
		Items:   positiveOr(l.Items, DefaultLimits.Items),
		Bulk:    positiveOr(l.Bulk, DefaultLimits.Bulk),
		Message: positiveOr(l.Message, DefaultLimits.Message),
	}
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
