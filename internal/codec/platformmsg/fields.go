package platformmsg

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// Bounds of the values of fields. They exceed the values of any real fleet, so larger values are errors of the sender.
const (
	maxAttempts     = 100_000_000
	maxExpectedRate = 1e9 // requests per second
	maxDuration     = 3600 * model.Second
	maxReadings     = 16
)

// fieldParser parses the fields of one message and keeps the first error. After an error, its methods return the values
// of valid fields and zero values for invalid ones.
type fieldParser struct {
	kind   Kind
	values map[string]string
	err    *ParseError
}

// newFieldParser returns a parser of the names and values that follow the kind of a message.
func newFieldParser(kind Kind, items []resp.Value) *fieldParser {
	parser := &fieldParser{kind: kind, values: make(map[string]string, len(items)/2)}
	for i := 0; i+1 < len(items); i += 2 {
		name := items[i].Text
		if _, repeated := parser.values[name]; repeated {
			parser.fail(truncate(name), "is given twice")
		}
		parser.values[name] = items[i+1].Text
	}
	toleratesOddLength := kind == KindCollector || kind == KindPing
	if len(items)%2 > 0 && !toleratesOddLength {
		parser.fail(truncate(items[len(items)-1].Text), "has no value")
	}
	return parser
}

func (p *fieldParser) fail(field, reason string) {
	if p.err == nil {
		p.err = &ParseError{Kind: p.kind, Field: field, Reason: reason}
	}
}

// text returns the text of a field that must not be empty.
func (p *fieldParser) text(name string) string {
	text := p.values[name]
	if text == "" {
		p.fail(name, "is not given")
	}
	return text
}

// number returns the value of a field that must be a number from 0 to a bound.
func (p *fieldParser) number(name string, bound float64) float64 {
	text := p.text(name)
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || !(number >= 0) || number > bound {
		p.fail(name, fmt.Sprintf("%.40q is no number from 0 to %g", text, bound))
		return 0
	}
	return number
}

// integer returns the value of a field that must be an integer from 0 to a bound.
func (p *fieldParser) integer(name string, bound int) int {
	text := p.text(name)
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number > bound {
		p.fail(name, fmt.Sprintf("%.40q is no whole number from 0 to %d", text, bound))
		return 0
	}
	return number
}

// flag reports whether a field that must be 0 or 1 is 1.
func (p *fieldParser) flag(name string) bool {
	return p.integer(name, 1) == 1
}

// duration returns the value of a field in milliseconds, which may have decimals.
func (p *fieldParser) duration(name string) model.Microseconds {
	milliseconds := p.number(name, float64(maxDuration/model.Millisecond))
	return model.Microseconds(math.Round(milliseconds * float64(model.Millisecond)))
}

// readings returns the values of an optional field of the form name:value,name:value.
func (p *fieldParser) readings(name string) []Reading {
	text := p.values[name]
	if text == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxReadings {
		p.fail(name, fmt.Sprintf("%d readings, %d are taken", len(parts), maxReadings))
		return nil
	}
	var readings []Reading
	for _, part := range parts {
		reading, ok := parseReading(part)
		if !ok {
			p.fail(name, fmt.Sprintf("%.40q is no reading", part))
			return nil
		}
		readings = append(readings, reading)
	}
	return readings
}

func parseReading(text string) (reading Reading, ok bool) {
	name, valueText, _ := strings.Cut(text, ":")
	value, err := strconv.ParseFloat(valueText, 64)
	if err != nil || name == "" || !(value >= 0) || math.IsInf(value, 0) {
		return Reading{}, false
	}
	return Reading{Name: name, Value: value}, true
}
