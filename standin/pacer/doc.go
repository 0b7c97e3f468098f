// Package pacer draws random service times and lengthens them during an endpoint's slow spells.
package pacer
