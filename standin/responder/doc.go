// Package responder plays one endpoint: slots, cold starts, slow spells and broken answers.
package responder
