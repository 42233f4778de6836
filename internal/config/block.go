package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Block is a block of a file, or its top level. Its methods read what the block may hold and note each name that they
// read; RejectUnknown reports every other name in it. A method that reports an error returns a usable value anyway, so
// that one pass finds all errors.
type Block struct {
	Labels []string // the quoted names after its kind

	kind       string // "" for the top level
	reader     *Reader
	body       *hclsyntax.Body
	at         hcl.Range
	missing    bool     // it is not in the file
	attributes []string // names of the settings that were read
	blocks     []string // kinds of the blocks that were read
}

// AddError reports an error of a setting, or of the block as a whole if the setting is "" or not given.
func (b *Block) AddError(setting, format string, args ...any) {
	field := setting
	if field == "" {
		field = b.kind
	}
	at := b.at
	if attribute := b.body.Attributes[setting]; attribute != nil {
		at = attribute.Expr.Range()
	}
	b.reader.addError(at, field, format, args...)
}

// Present reports whether the block is in the file; SingleBlock returns an empty block for one that is not.
func (b *Block) Present() bool { return !b.missing }

// HasSetting reports whether a setting is given.
func (b *Block) HasSetting(setting string) bool { return b.body.Attributes[setting] != nil }

// Inherit takes over from another file what this one does not have: settings by name, blocks by kind, except for some
// kinds. That file's errors become this one's.
func (b *Block) Inherit(path string, except ...string) {
	other, top := Open(path)
	b.reader.errors = append(b.reader.errors, other.errors...)
	if top == nil {
		return
	}
	b.reader.sources[path] = other.sources[path]
	for name, attribute := range top.body.Attributes {
		if !b.HasSetting(name) {
			b.body.Attributes[name] = attribute
		}
	}
	ownKinds := map[string]bool{}
	for _, block := range b.body.Blocks {
		ownKinds[block.Type] = true
	}
	for _, block := range top.body.Blocks {
		if !ownKinds[block.Type] && !slices.Contains(except, block.Type) {
			b.body.Blocks = append(b.body.Blocks, block)
		}
	}
}

// Blocks returns the blocks of a kind, with that many labels each. It reports a block with the labels of an earlier one
// as an error.
func (b *Block) Blocks(kind string, labels int) []*Block {
	all := b.RepeatedBlocks(kind, labels)
	if labels == 0 {
		return all
	}
	for i, block := range all {
		sameLabels := func(other *Block) bool { return slices.Equal(other.Labels, block.Labels) }
		if slices.ContainsFunc(all[:i], sameLabels) {
			block.AddError("", "%s %q stands there twice; leave one out", kind, block.Labels[0])
		}
	}
	return all
}

// RepeatedBlocks is Blocks where the same labels may be used again.
func (b *Block) RepeatedBlocks(kind string, labels int) []*Block {
	b.blocks = append(b.blocks, kind)
	var all []*Block
	for _, block := range b.body.Blocks {
		if block.Type != kind {
			continue
		}
		if len(block.Labels) != labels {
			b.reader.addError(block.DefRange(), kind, "%s: a block with %d names in quotes is wanted", kind, labels)
			continue
		}
		all = append(all, &Block{
			Labels: block.Labels,
			kind:   kind,
			reader: b.reader,
			body:   block.Body,
			at:     block.DefRange(),
		})
	}
	return all
}

// SingleBlock returns the block of a kind that may appear once. For a missing one it returns an empty block, whose
// errors are dropped, and reports an error if the block is required.
func (b *Block) SingleBlock(kind string, labels int, required bool) *Block {
	all := b.Blocks(kind, labels)
	if len(all) > 1 {
		all[1].AddError("", "%s stands there twice; leave one out", kind)
	}
	if len(all) > 0 {
		return all[0]
	}
	if required {
		b.reader.addError(b.at, kind, "a block %s { } is missing", kind)
	}
	return &Block{
		Labels:  make([]string, labels),
		kind:    kind,
		reader:  &Reader{},
		body:    &hclsyntax.Body{},
		at:      b.at,
		missing: true,
	}
}

// Source is the text of the settings and blocks of these names, as the file has it: what one file passes on to another.
func (b *Block) Source(names ...string) []byte {
	var text []byte
	for _, attribute := range b.body.Attributes {
		if slices.Contains(names, attribute.Name) {
			text = b.appendSource(text, attribute.SrcRange)
		}
	}
	for _, block := range b.body.Blocks {
		if slices.Contains(names, block.Type) {
			text = b.appendSource(text, block.Range())
		}
	}
	return text
}

func (b *Block) appendSource(text []byte, at hcl.Range) []byte {
	text = append(text, at.SliceBytes(b.reader.sources[at.Filename])...)
	return append(text, '\n')
}

// RejectUnknown reports settings and blocks that were not read: this kind of block does not have them.
func (b *Block) RejectUnknown() {
	for name, attribute := range b.body.Attributes {
		if !slices.Contains(b.attributes, name) {
			b.reader.addError(attribute.NameRange, name,
				"no setting %q here; there are %s", name, joinSorted(b.attributes))
		}
	}
	for _, block := range b.body.Blocks {
		if !slices.Contains(b.blocks, block.Type) {
			b.reader.addError(block.DefRange(), block.Type,
				"no block %q here; there are %s", block.Type, joinSorted(b.blocks))
		}
	}
}

// joinSorted lists names, each once.
func joinSorted(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), ", ")
}
