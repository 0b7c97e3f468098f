package cmd

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/parser"
	"poplarhook.example/lib/validator"
)

// standardInput is the file that "-" stands for.
const standardInput = "/dev/stdin"

// readDocument reads and checks the document in a file or on standard input.
func (s *shared) readDocument(name string) (document.Document, []byte, error) {
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

func (s *shared) readFile(name string) ([]byte, error) {
	limit := int64(parser.MaxBytes + 1)
	if name == standardInput {
		return io.ReadAll(io.LimitReader(s.in, limit))
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, limit))
}
