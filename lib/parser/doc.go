// Package parser parses the document of a team that an operator wrote in YAML or JSON.
package parser
