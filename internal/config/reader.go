// Package site reads the product's files, which are HCL: what a governor is started with (governor.go), and a
// reader for files of other rooms. Every fault is told with file, line and column, and what would be right; all faults
// of a file are told at once.
package config

import (
	"fmt"
	"math"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"peppervale/internal/model"
)

// Reader reads one file and gathers its faults.
type Reader struct {
	file   string
	texts  map[string][]byte // by file; more than one where a file builds on another
	faults []Error
}

// Error is one thing wrong with a file.
type Error struct {
	File         string
	Line, Column int
	Text         string
}

func (f Error) Error() string { return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text) }

// Errors is all that is wrong with a file, in its order.
type Errors []Error

func (fs Errors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Block is a block of a file, or its top. What is asked of it is what it may hold; Done tells the rest.
type Block struct {
	Labels []string
	r      *Reader
	body   *hclsyntax.Body
	at     hcl.Range
	attrs  []string
	blocks []string
}

// Open parses a file. A nil Block means that it could not be parsed at all: see Err.
func Open(path string) (*Reader, *Block) {
	text, err := os.ReadFile(path)
	if err != nil {
		return &Reader{file: path, faults: []Error{{File: path, Line: 1, Column: 1, Text: err.Error()}}}, nil
	}
	return Parse(path, text)
}

// Parse is Open for a text.
func Parse(path string, text []byte) (*Reader, *Block) {
	r := &Reader{file: path, texts: map[string][]byte{path: text}}
	file, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			at := hcl.Range{}
			if d.Subject != nil {
				at = *d.Subject
			}
			r.fault(at, "%s: %s", d.Summary, d.Detail)
		}
	}
	if len(r.faults) > 0 {
		return r, nil
	}
	body := file.Body.(*hclsyntax.Body)
	return r, &Block{r: r, body: body, at: hcl.Range{Start: hcl.InitialPos}}
}

func (r *Reader) fault(at hcl.Range, format string, args ...any) {
	file := r.file
	if at.Filename != "" {
		file = at.Filename
	}
	r.faults = append(r.faults, Error{file, max(at.Start.Line, 1), max(at.Start.Column, 1), fmt.Sprintf(format, args...)})
}

// Err gives all faults as Faults, in the file's order, or nil.
func (r *Reader) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool {
		a, b := r.faults[i], r.faults[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return Errors(r.faults)
}

// Fault tells something wrong with the block as a whole, or with an attribute of it if that is named.
func (b *Block) Fault(attr, format string, args ...any) {
	at := b.at
	if a := b.body.Attributes[attr]; a != nil {
		at = a.Expr.Range()
	}
	b.r.fault(at, format, args...)
}

// Inherit takes from another file what this one does not have: settings by name, blocks by kind, but for the kinds left
// out. That file's faults become this one's.
func (b *Block) Inherit(path string, but ...string) {
	other, top := Open(path)
	b.r.faults = append(b.r.faults, other.faults...)
	if top == nil {
		return
	}
	other.faults = nil
	b.r.texts[path] = other.texts[path]
	for name, a := range top.body.Attributes {
		if b.body.Attributes[name] == nil {
			b.body.Attributes[name] = a
		}
	}
	mine := map[string]bool{}
	for _, x := range b.body.Blocks {
		mine[x.Type] = true
	}
	for _, x := range top.body.Blocks {
		if !mine[x.Type] && !slices.Contains(but, x.Type) {
			b.body.Blocks = append(b.body.Blocks, x)
		}
	}
}

// Given tells a block that stands in the file from the empty one that One gives for a missing one.
func (b *Block) Given() bool { return len(b.r.texts) > 0 }

// Has tells whether an attribute is given.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// value evaluates an attribute. Where it is missing: usual nil is a fault, else not ok.
func (b *Block) value(name string, needed bool) (v cty.Value, at hcl.Range, ok bool) {
	b.attrs = append(b.attrs, name)
	a := b.body.Attributes[name]
	if a == nil {
		if needed {
			b.r.fault(b.at, "%s is missing", name)
		}
		return v, at, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() || v.IsNull() || !v.IsWhollyKnown() {
		b.r.fault(a.Expr.Range(), "%s: only plain values are read here", name)
		return v, at, false
	}
	return v, a.Expr.Range(), true
}

// Text reads a string; usual "" makes it needed. With among, it must be one of them.
func (b *Block) Text(name, usual string, among ...string) string {
	v, at, ok := b.value(name, usual == "")
	if !ok {
		return usual
	}
	if v.Type() != cty.String {
		b.r.fault(at, "%s: a text in quotes is wanted", name)
		return usual
	}
	text := v.AsString()
	if len(among) > 0 && !slices.Contains(among, text) {
		b.r.fault(at, "%s: %q is none of %s", name, text, strings.Join(among, ", "))
	}
	return text
}

// Maybe reads a string that may be left out; then it is empty.
func (b *Block) Maybe(name string) string {
	if !b.Has(name) {
		b.attrs = append(b.attrs, name)
		return ""
	}
	return b.Text(name, "")
}

// Texts reads a list of strings, each once.
func (b *Block) Texts(name string, needed bool) []string { return b.texts(name, needed, true) }

// Governors reads the list governors, a zone for each one, which may come again.
func (b *Block) Governors() []string {
	all := b.texts("governors", true, false)
	if b.Has("governors") && len(all) == 0 {
		b.Fault("governors", "governors: a list of zones is wanted, one for each governor")
	}
	return all
}

func (b *Block) texts(name string, needed, once bool) (all []string) {
	v, at, ok := b.value(name, needed)
	if !ok {
		return nil
	}
	if !v.Type().IsTupleType() {
		b.r.fault(at, "%s: a list of texts is wanted, [\"a\", \"b\"]", name)
		return nil
	}
	for _, e := range v.AsValueSlice() {
		if e.Type() != cty.String {
			b.r.fault(at, "%s: a list of texts is wanted, [\"a\", \"b\"]", name)
			return nil
		}
		if once && slices.Contains(all, e.AsString()) {
			b.r.fault(at, "%s: %q stands there twice; leave one out", name, e.AsString())
		}
		all = append(all, e.AsString())
	}
	return all
}

// Number reads a number from least to most; usual NaN makes it needed.
func (b *Block) Number(name string, usual, least, most float64) float64 {
	v, at, ok := b.value(name, math.IsNaN(usual))
	if !ok {
		return usual
	}
	if v.Type() != cty.Number {
		b.r.fault(at, "%s: a number is wanted", name)
		return usual
	}
	f, _ := v.AsBigFloat().Float64()
	if f < least || f > most {
		b.r.fault(at, "%s: %v lies outside %v to %v", name, f, least, most)
	}
	return f
}

// Whole reads a whole number; usual below least makes it needed.
func (b *Block) Whole(name string, usual, least, most int) int {
	u := float64(usual)
	if usual < least {
		u = math.NaN()
	}
	f := b.Number(name, u, float64(least), float64(most))
	if f != math.Trunc(f) {
		b.Fault(name, "%s: a whole number is wanted", name)
	}
	if math.IsNaN(f) {
		return least
	}
	return int(f)
}

// Yes reads true or false.
func (b *Block) Yes(name string, usual bool) bool {
	v, at, ok := b.value(name, false)
	if !ok {
		return usual
	}
	if v.Type() != cty.Bool {
		b.r.fault(at, "%s: true or false is wanted", name)
		return usual
	}
	return v.True()
}

// Span reads a time with its unit, "500ms" or "2s"; usual below 0 makes it needed.
func (b *Block) Span(name string, usual, least, most model.Microseconds) model.Microseconds {
	v, at, ok := b.value(name, usual < 0)
	if !ok {
		return max(usual, least)
	}
	if v.Type() == cty.Number {
		f, _ := v.AsBigFloat().Float64()
		b.r.fault(at, "%s: a time without a unit; write \"%gms\" or \"%gs\"", name, f, f)
		return least
	}
	var d time.Duration
	err := error(nil)
	if v.Type() == cty.String {
		d, err = time.ParseDuration(v.AsString())
	}
	if v.Type() != cty.String || err != nil {
		b.r.fault(at, "%s: a time with its unit is wanted, as \"500ms\" or \"2s\"", name)
		return least
	}
	span := model.Microseconds(d / time.Microsecond)
	if span < least || span > most {
		b.r.fault(at, "%s: %s lies outside %s to %s", name, d, least.Duration(), most.Duration())
	}
	return span
}

// Blocks gives the blocks of a type, with that many labels each; no two have the same.
func (b *Block) Blocks(kind string, labels int) []*Block {
	all := b.Repeated(kind, labels)
	for i, one := range all {
		if labels > 0 && slices.ContainsFunc(all[:i], func(o *Block) bool { return slices.Equal(o.Labels, one.Labels) }) {
			one.Fault("", "%s %q stands there twice; leave one out", kind, one.Labels[0])
		}
	}
	return all
}

// Repeated is Blocks where the same labels may come again.
func (b *Block) Repeated(kind string, labels int) (all []*Block) {
	b.blocks = append(b.blocks, kind)
	for _, x := range b.body.Blocks {
		if x.Type != kind {
			continue
		}
		if len(x.Labels) != labels {
			b.r.fault(x.DefRange(), "%s: a block with %d names in quotes is wanted", kind, labels)
			continue
		}
		all = append(all, &Block{Labels: x.Labels, r: b.r, body: x.Body, at: x.DefRange()})
	}
	return all
}

// One gives the block of a type that stands once; an empty one, and a fault, if it is missing and needed.
func (b *Block) One(kind string, labels int, needed bool) *Block {
	all := b.Blocks(kind, labels)
	if len(all) > 1 {
		all[1].Fault("", "%s stands there twice; leave one out", kind)
	}
	if len(all) > 0 {
		return all[0]
	}
	if needed {
		b.r.fault(b.at, "a block %s { } is missing", kind)
	}
	return &Block{Labels: make([]string, labels), r: &Reader{}, body: &hclsyntax.Body{}, at: b.at}
}

// Source is the text of the top's attributes and blocks of these names, as the file has it: what one file passes on
// to another.
func (b *Block) Source(names ...string) (text []byte) {
	for _, a := range b.body.Attributes {
		if slices.Contains(names, a.Name) {
			text = append(append(text, a.SrcRange.SliceBytes(b.r.texts[a.SrcRange.Filename])...), '\n')
		}
	}
	for _, x := range b.body.Blocks {
		if slices.Contains(names, x.Type) {
			text = append(append(text, x.Range().SliceBytes(b.r.texts[x.Range().Filename])...), '\n')
		}
	}
	return text
}

// Done tells what nobody asked for: words that this kind of block does not have.
func (b *Block) Done() {
	for name, a := range b.body.Attributes {
		if !slices.Contains(b.attrs, name) {
			b.r.fault(a.NameRange, "no setting %q here; there are %s", name, list(b.attrs))
		}
	}
	for _, x := range b.body.Blocks {
		if !slices.Contains(b.blocks, x.Type) {
			b.r.fault(x.DefRange(), "no block %q here; there are %s", x.Type, list(b.blocks))
		}
	}
}

func list(words []string) string {
	if len(words) == 0 {
		return "none"
	}
	words = slices.Clone(words)
	slices.Sort(words)
	return strings.Join(slices.Compact(words), ", ")
}
