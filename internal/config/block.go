package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Block is a block of a configuration file, or the top level of the file. Its methods read the settings and blocks that
// it may contain and record their names; RejectUnknown reports all other names in it. A method that reports an error
// still returns a usable value, so that one pass finds all errors.
type Block struct {
	Labels []string // the quoted labels after the kind

	kind          string // "" for the top level
	reader        *Reader
	body          *hclsyntax.Body
	location      hcl.Range
	absent        bool     // the block is not in the file
	knownSettings []string // names of the settings that were read
	knownKinds    []string // kinds of the blocks that were read
}

// AddError reports an error of a setting, or of the block if setting is "". If the block does not have the setting, the
// error has the position of the block.
func (b *Block) AddError(setting, format string, args ...any) {
	field := setting
	if field == "" {
		field = b.kind
	}
	position := b.location
	if attribute := b.body.Attributes[setting]; attribute != nil {
		position = attribute.Expr.Range()
	}
	b.reader.addError(position, field, format, args...)
}

// Present reports whether the block is in the file; SingleBlock returns an empty block for a missing one.
func (b *Block) Present() bool { return !b.absent }

// HasSetting reports whether the block has a setting.
func (b *Block) HasSetting(setting string) bool { return b.body.Attributes[setting] != nil }

// Inherit adds the settings (by name) and blocks (by kind) of another file that this file does not have. Blocks of the
// kinds in except are not added. The errors of the other file are added to the errors of this file.
func (b *Block) Inherit(path string, excludedKinds ...string) {
	otherReader, otherTop := Open(path)
	b.reader.errors = append(b.reader.errors, otherReader.errors...)
	if otherTop == nil {
		return
	}
	b.reader.sources[path] = otherReader.sources[path]
	for name, attribute := range otherTop.body.Attributes {
		if !b.HasSetting(name) {
			b.body.Attributes[name] = attribute
		}
	}
	ownKinds := map[string]bool{}
	for _, block := range b.body.Blocks {
		ownKinds[block.Type] = true
	}
	for _, block := range otherTop.body.Blocks {
		if !ownKinds[block.Type] && !slices.Contains(excludedKinds, block.Type) {
			b.body.Blocks = append(b.body.Blocks, block)
		}
	}
}

// Blocks returns the blocks of a kind; labels is the required number of labels. Blocks with the same labels are an
// error.
func (b *Block) Blocks(kind string, labelCount int) []*Block {
	blocks := b.RepeatedBlocks(kind, labelCount)
	if labelCount == 0 {
		return blocks
	}
	for i, block := range blocks {
		sameLabels := func(other *Block) bool { return slices.Equal(other.Labels, block.Labels) }
		if slices.ContainsFunc(blocks[:i], sameLabels) {
			block.AddError("", "%s %q is declared twice; remove one", kind, block.Labels[0])
		}
	}
	return blocks
}

// RepeatedBlocks is like Blocks, but several blocks may have the same labels.
func (b *Block) RepeatedBlocks(kind string, labelCount int) []*Block {
	b.knownKinds = append(b.knownKinds, kind)
	var blocks []*Block
	for _, block := range b.body.Blocks {
		if block.Type != kind {
			continue
		}
		if len(block.Labels) != labelCount {
			b.reader.addError(block.DefRange(), kind, "%s: expected a block with %d quoted labels", kind, labelCount)
			continue
		}
		blocks = append(blocks, &Block{
			Labels:   block.Labels,
			kind:     kind,
			reader:   b.reader,
			body:     block.Body,
			location: block.DefRange(),
		})
	}
	return blocks
}

// SingleBlock returns the block of a kind that may appear once. If it is missing, SingleBlock returns an empty block
// whose errors are discarded, and reports an error if the block is required.
func (b *Block) SingleBlock(kind string, labelCount int, required bool) *Block {
	blocks := b.Blocks(kind, labelCount)
	if len(blocks) > 1 {
		blocks[1].AddError("", "%s is declared twice; remove one", kind)
	}
	if len(blocks) > 0 {
		return blocks[0]
	}
	if required {
		b.reader.addError(b.location, kind, "a block %s { } is missing", kind)
	}
	return &Block{
		Labels:   make([]string, labelCount),
		kind:     kind,
		reader:   &Reader{},
		body:     &hclsyntax.Body{},
		location: b.location,
		absent:   true,
	}
}

// Source returns the source text of the settings and blocks with the given names, for use in another file.
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

func (b *Block) appendSource(text []byte, position hcl.Range) []byte {
	text = append(text, position.SliceBytes(b.reader.sources[position.Filename])...)
	return append(text, '\n')
}

// RejectUnknown reports settings and blocks that were not read, because this kind of block does not support them.
func (b *Block) RejectUnknown() {
	for name, attribute := range b.body.Attributes {
		if !slices.Contains(b.knownSettings, name) {
			b.reader.addError(attribute.NameRange, name,
				"unknown setting %q; supported here: %s", name, joinSorted(b.knownSettings))
		}
	}
	for _, block := range b.body.Blocks {
		if !slices.Contains(b.knownKinds, block.Type) {
			b.reader.addError(block.DefRange(), block.Type,
				"unknown block %q; supported here: %s", block.Type, joinSorted(b.knownKinds))
		}
	}
}

// joinSorted returns the distinct names, sorted and separated by commas.
func joinSorted(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return strings.Join(slices.Compact(sorted), ", ")
}
