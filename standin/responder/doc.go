// Package responder simulates one endpoint: its slots, cold starts, slow spells and faulty answers.
package responder
