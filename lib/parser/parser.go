package parser

import (
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/violation"
)

// MaxBytes is the default maximum size of a document in bytes.
const MaxBytes = 1<<20 - 64<<10

// ErrInvalid is the error, for errors.Is, that Parse returns for text that is not one well-formed document.
var ErrInvalid = violation.ErrInvalid

// Parser parses documents and rejects unknown fields and values of the wrong type.
type Parser struct {
	maxBytes int
}

// Option configures a Parser.
type Option func(*Parser)

// WithMaxBytes sets the maximum size of a document in bytes.
func WithMaxBytes(n int) Option {
	return func(p *Parser) { p.maxBytes = n }
}

// New returns a parser with the given options.
func New(options ...Option) Parser {
	p := Parser{maxBytes: MaxBytes}
	for _, option := range options {
		option(&p)
	}
	return p
}

// Parse returns the document in the text. It checks syntax, fields and types, but not whether the values are valid.
func (p Parser) Parse(text []byte) (document.Document, error) {
	root, err := p.readRoot(text)
	if err != nil {
		return document.Document{}, err
	}
	var doc document.Document
	if err := violation.Join(checkTree(root, doc)); err != nil {
		return document.Document{}, err
	}
	if err := root.Decode(&doc); err != nil {
		return document.Document{}, violation.New("document", err.Error(), "the fields of docs/CONFIGURATION.md")
	}
	return doc, nil
}

// readRoot returns the root node of the only YAML document in the text.
func (p Parser) readRoot(text []byte) (*yaml.Node, error) {
	if len(text) > p.maxBytes {
		return nil, violation.New("document", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d bytes", p.maxBytes))
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var file yaml.Node
	err := decoder.Decode(&file)
	if errors.Is(err, io.EOF) || (err == nil && len(file.Content) != 1) {
		return nil, violation.New("document", "", "one YAML or JSON document, not an empty one")
	}
	if err != nil {
		return nil, violation.New("document", err.Error(), "well-formed YAML or JSON")
	}
	var next yaml.Node
	if err := decoder.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, violation.New("document", "a second document", "exactly one document")
	}
	return file.Content[0], nil
}
