package parser

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"poplarhook.example/lib/violation"
)

// maxViolations keeps the answer to a document that is wrong throughout short.
const maxViolations = 50

// check compares a parsed text with the type that it is to fill.
func check(root *yaml.Node, target any) []violation.Violation {
	var c checker
	c.value(root, reflect.TypeOf(target), "")
	return c.found
}

type checker struct {
	found []violation.Violation
}

func (c *checker) value(node *yaml.Node, t reflect.Type, path string) {
	if len(c.found) >= maxViolations {
		return
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		c.refuse(node, path, "a plain value, without anchor or alias")
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.fields(node, t, path)
	case reflect.Slice:
		c.items(node, t, path)
	case reflect.Int64:
		c.scalar(node, path, "!!int", "a whole number")
	default:
		c.scalar(node, path, "!!str", "a string (quote it if it looks like another kind of value)")
	}
}

func (c *checker) fields(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		c.refuse(node, path, "a mapping of "+strings.Join(names(t), ", "))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field, known := fieldOf(t, key.Value)
		here := join(path, key.Value)
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			c.refuse(key, here, "one of the fields "+strings.Join(names(t), ", "))
		case seen[key.Value]:
			c.refuse(key, here, "each field once")
		default:
			c.value(value, field, here)
		}
		seen[key.Value] = true
	}
}

func (c *checker) items(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		c.refuse(node, path, "a list")
		return
	}
	for i, item := range node.Content {
		c.value(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) scalar(node *yaml.Node, path, tag, allowed string) {
	if node.Kind != yaml.ScalarNode || node.ShortTag() != tag {
		c.refuse(node, path, allowed)
	}
}

func (c *checker) refuse(node *yaml.Node, path, allowed string) {
	if len(c.found) >= maxViolations {
		return
	}
	if path == "" {
		path = "document"
	}
	place := fmt.Sprintf("%s (line %d)", path, node.Line)
	c.found = append(c.found, violation.New(place, node.Value, allowed))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func names(t reflect.Type) []string {
	list := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		list = append(list, nameOf(t.Field(i)))
	}
	return list
}

func nameOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if nameOf(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
