// Package parser reads a team's document as an operator writes it, in YAML or JSON.
package parser
