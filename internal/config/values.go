package config

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"peppervale/internal/model"
)

// value evaluates a setting. If the setting is not a literal value, or is required and missing, it reports an error and
// ok is false. If an optional setting is missing, ok is false without an error.
func (b *Block) value(name string, required bool) (value cty.Value, position hcl.Range, ok bool) {
	b.knownSettings = append(b.knownSettings, name)
	attribute := b.body.Attributes[name]
	if attribute == nil {
		if required {
			b.reader.addError(b.location, name, "%s is missing", name)
		}
		return cty.NilVal, hcl.Range{}, false
	}
	position = attribute.Expr.Range()
	value, diagnostics := attribute.Expr.Value(nil)
	if diagnostics.HasErrors() || value.IsNull() || !value.IsWhollyKnown() {
		b.reader.addError(position, name, "%s: expected a literal value", name)
		return cty.NilVal, position, false
	}
	return value, position, true
}

// String reads a string; an empty fallback makes it required. If allowed values are given, it must be one of them.
func (b *Block) String(name, fallback string, allowedValues ...string) string {
	value, position, ok := b.value(name, fallback == "")
	if !ok {
		return fallback
	}
	if value.Type() != cty.String {
		b.reader.addError(position, name, "%s: expected a string in quotes", name)
		return fallback
	}
	text := value.AsString()
	if len(allowedValues) > 0 && !slices.Contains(allowedValues, text) {
		b.reader.addError(position, name, "%s: %q is not one of %s", name, text, strings.Join(allowedValues, ", "))
	}
	return text
}

// OptionalString reads an optional string; it returns "" if the setting is missing.
func (b *Block) OptionalString(name string) string {
	if !b.HasSetting(name) {
		b.knownSettings = append(b.knownSettings, name)
		return ""
	}
	return b.String(name, "")
}

// Strings reads a list of strings, each of which may appear once.
func (b *Block) Strings(name string, required bool) []string {
	return b.stringList(name, required, true)
}

// InstanceZones reads the setting governors: the zone of each instance. A zone may appear more than once.
func (b *Block) InstanceZones() []string {
	const name = "governors"
	zones := b.stringList(name, true, false)
	if b.HasSetting(name) && len(zones) == 0 {
		b.AddError(name, "governors: expected a list of zones, one for each governor")
	}
	return zones
}

func (b *Block) stringList(name string, required, unique bool) []string {
	value, position, ok := b.value(name, required)
	if !ok {
		return nil
	}
	if !value.Type().IsTupleType() {
		b.addNotAListError(position, name)
		return nil
	}
	var texts []string
	for _, element := range value.AsValueSlice() {
		if element.Type() != cty.String {
			b.addNotAListError(position, name)
			return nil
		}
		text := element.AsString()
		if unique && slices.Contains(texts, text) {
			b.reader.addError(position, name, "%s: %q is listed twice; remove one", name, text)
		}
		texts = append(texts, text)
	}
	return texts
}

func (b *Block) addNotAListError(position hcl.Range, name string) {
	b.reader.addError(position, name, "%s: expected a list of strings, such as [\"a\", \"b\"]", name)
}

// Float reads a number from lowest to highest; NaN as the fallback makes it required.
func (b *Block) Float(name string, fallback, lowest, highest float64) float64 {
	value, position, ok := b.value(name, math.IsNaN(fallback))
	if !ok {
		return fallback
	}
	if value.Type() != cty.Number {
		b.reader.addError(position, name, "%s: expected a number", name)
		return fallback
	}
	number, _ := value.AsBigFloat().Float64()
	if number < lowest || number > highest {
		b.reader.addError(position, name, "%s: %v is out of range, expected %v to %v", name, number, lowest, highest)
	}
	return number
}

// Int reads an integer from lowest to highest; a fallback below lowest makes it required.
func (b *Block) Int(name string, fallback, lowest, highest int) int {
	numberFallback := float64(fallback)
	if fallback < lowest {
		numberFallback = math.NaN()
	}
	number := b.Float(name, numberFallback, float64(lowest), float64(highest))
	if number != math.Trunc(number) { // also true for NaN
		b.AddError(name, "%s: expected an integer", name)
	}
	if math.IsNaN(number) {
		return lowest
	}
	return int(number)
}

// Bool reads a boolean.
func (b *Block) Bool(name string, fallback bool) bool {
	value, position, ok := b.value(name, false)
	if !ok {
		return fallback
	}
	if value.Type() != cty.Bool {
		b.reader.addError(position, name, "%s: expected true or false", name)
		return fallback
	}
	return value.True()
}

// Duration reads a duration with its unit ("500ms", "2s") from shortest to longest; a fallback below 0 makes it
// required.
func (b *Block) Duration(name string, fallback, shortest, longest model.Microseconds) model.Microseconds {
	value, position, ok := b.value(name, fallback < 0)
	if !ok {
		return max(fallback, shortest)
	}
	if value.Type() == cty.Number {
		number, _ := value.AsBigFloat().Float64()
		b.reader.addError(position, name, "%s: the duration has no unit; write \"%gms\" or \"%gs\"", name, number, number)
		return shortest
	}
	duration, ok := parseDuration(value)
	if !ok {
		b.reader.addError(position, name, "%s: expected a duration with a unit, such as \"500ms\" or \"2s\"", name)
		return shortest
	}
	microseconds := model.MicrosecondsOf(duration)
	if microseconds < shortest || microseconds > longest {
		b.reader.addError(position, name, "%s: %s is out of range, expected %s to %s",
			name, duration, shortest.Duration(), longest.Duration())
	}
	return microseconds
}

func parseDuration(value cty.Value) (duration time.Duration, ok bool) {
	if value.Type() != cty.String {
		return 0, false
	}
	duration, err := time.ParseDuration(value.AsString())
	return duration, err == nil
}

// Address reads a required IPv4 address with a port. Port 0 (any free port) is accepted only if anyPort is true.
func (b *Block) Address(name string, anyPort bool) string {
	text := b.String(name, "")
	if text == "" {
		return text
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() {
		b.AddError(name, "%s: %q is not an IPv4 address with a port, such as 127.0.0.1:7700", name, text)
	} else if address.Port() == 0 && !anyPort {
		b.AddError(name, "%s: expected a port above 0", name)
	}
	return text
}
