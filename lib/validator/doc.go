// Package validator checks the document of one team, and the documents of all teams for conflicts between them.
package validator
