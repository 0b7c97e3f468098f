package cmd

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/parser"
	"poplarhook.example/lib/validator"
)

// standardInputPath is the path that replaces the argument "-".
const standardInputPath = "/dev/stdin"

// readDocument reads and validates the document in a file or on standard input, and returns it with its text.
func (s *app) readDocument(name string) (document.Document, []byte, error) {
	text, err := s.readFile(name)
	if err != nil {
		return document.Document{}, nil, errors.Wrapf(ErrUsage, "%v", err)
	}
	doc, err := parser.New().Parse(text)
	if err == nil {
		err = validator.New().Document(doc)
	}
	return doc, text, errors.Wrap(err, name)
}

func (s *app) readFile(name string) ([]byte, error) {
	limit := int64(parser.MaxBytes + 1)
	if name == standardInputPath {
		return io.ReadAll(io.LimitReader(s.in, limit))
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, limit))
}
