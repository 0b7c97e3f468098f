// Package validator checks a document, and all documents together, as a whole.
package validator
