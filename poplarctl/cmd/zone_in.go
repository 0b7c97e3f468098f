package cmd

import "net/http"

func newZoneIn(s *shared) subcommand {
	return newZoneChange(s, "in", "bring an availability zone back; its endpoints start cold", http.MethodDelete)
}
