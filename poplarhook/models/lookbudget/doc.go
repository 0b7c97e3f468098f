// Package lookbudget bounds how often one entry host looks at endpoints.
package lookbudget
