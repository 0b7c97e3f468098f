package cmd

import "net/http"

func newZoneIn(s *app) subcommand {
	return newZoneChange(s, "in", "bring an availability zone back into service; its endpoints start cold", http.MethodDelete)
}
