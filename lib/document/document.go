package document

import "poplarhook.example/lib/class"

// Document is the whole configuration of one team.
type Document struct {
	Team    string        `json:"team" yaml:"team"`
	Classes []class.Class `json:"classes" yaml:"classes"`
}
