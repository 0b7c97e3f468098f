// Package loan defines the rows that a dump shows for the credits lent by an owner.
package loan
