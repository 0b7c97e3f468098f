package frame_test

import (
	"encoding/json"
	"testing"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/frame"
)

// FuzzView checks that no line of another host ends the process.
func FuzzView(f *testing.F) {
	f.Add([]byte(`{"feed":"endpoints","revision":3,"items":{"a":{"id":"a","slots":2}}}`))
	f.Add([]byte(`{"feed":"endpoints","revision":3,"changes":[{"name":"a","removed":true}],"since":2}`))
	f.Add([]byte(`{"feed":"endpoints","packed":"S0zMSQUA"}`))
	f.Fuzz(func(_ *testing.T, line []byte) {
		var decoded frame.Frame
		if json.Unmarshal(line, &decoded) != nil {
			return
		}
		_, _ = frame.View[host.Host](decoded, time.Unix(0, 0))
		decoded.IsHeartbeat()
	})
}
