// Package account holds what endpoints did and suffered.
package account
