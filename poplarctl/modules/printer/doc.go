// Package printer writes answers as tables for people or as JSON for programs.
package printer
