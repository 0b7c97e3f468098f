package parser

import (
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"

	"poplarhook.example/lib/violation"
)

// maxViolations limits the length of the error for a document with many violations.
const maxViolations = 50

// checkTree compares the parsed YAML with the type of the target that it is to be decoded into.
func checkTree(root *yaml.Node, target any) []violation.Violation {
	var c checker
	c.checkValue(root, reflect.TypeOf(target), "")
	return c.violations
}

// checker collects violations, at most maxViolations.
type checker struct {
	violations []violation.Violation
}

func (c *checker) checkValue(node *yaml.Node, t reflect.Type, path string) {
	if len(c.violations) >= maxViolations {
		return
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		c.addViolation(node, path, "a plain value, without anchor or alias")
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkFields(node, t, path)
	case reflect.Slice:
		c.checkItems(node, t, path)
	case reflect.Int64:
		c.checkScalar(node, path, "!!int", "a whole number")
	default:
		c.checkScalar(node, path, "!!str", "a string (quote it if it looks like another kind of value)")
	}
}

func (c *checker) checkFields(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		c.addViolation(node, path, "a mapping of "+strings.Join(listFieldNames(t), ", "))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field, known := findFieldType(t, key.Value)
		fieldPath := joinPath(path, key.Value)
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			c.addViolation(key, fieldPath, "one of the fields "+strings.Join(listFieldNames(t), ", "))
		case seen[key.Value]:
			c.addViolation(key, fieldPath, "each field once")
		default:
			c.checkValue(value, field, fieldPath)
		}
		seen[key.Value] = true
	}
}

func (c *checker) checkItems(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		c.addViolation(node, path, "a list")
		return
	}
	for i, item := range node.Content {
		c.checkValue(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) checkScalar(node *yaml.Node, path, tag, allowed string) {
	if node.Kind != yaml.ScalarNode || node.ShortTag() != tag {
		c.addViolation(node, path, allowed)
	}
}

func (c *checker) addViolation(node *yaml.Node, path, allowed string) {
	if len(c.violations) >= maxViolations {
		return
	}
	if path == "" {
		path = "document"
	}
	location := fmt.Sprintf("%s (line %d)", path, node.Line)
	c.violations = append(c.violations, violation.New(location, node.Value, allowed))
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func listFieldNames(t reflect.Type) []string {
	list := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		list = append(list, fieldName(t.Field(i)))
	}
	return list
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func findFieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
