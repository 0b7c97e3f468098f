package cmd

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
)

// readHosts reads a JSON array of hosts from a file; an empty path returns no hosts.
func readHosts(path string) ([]host.Host, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "hosts file")
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var hosts []host.Host
	if err := decoder.Decode(&hosts); err != nil {
		return nil, errors.Wrapf(err, "hosts file %s", path)
	}
	return hosts, nil
}
