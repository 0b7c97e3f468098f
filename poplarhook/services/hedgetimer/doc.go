// Package hedgetimer decides for each class after which delay an unanswered request is hedged.
package hedgetimer
