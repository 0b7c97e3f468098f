// Package excluder decides which endpoints get no requests because they have said so in their answers.
package excluder
