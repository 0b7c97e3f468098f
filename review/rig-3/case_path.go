package main

import (
	"fmt"
	"time"
)

// playPath sends requests whose paths hold characters that browsers send as they are. In the trouble there are some that
// RFC 3986 would escape.
func playPath(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{{"r-order", "jepu9.example", "/puka111/", "unsafe", "order", 1200}}, []string{"order"}, nil))
	if err := d.addServers("order", 6, 2, 20*time.Millisecond); err != nil {
		return "", err
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	paths := []string{"a%7Cb", "roll%2E1", "a~b", "a'b(c)"}
	if trouble {
		paths = append(paths, "a|b", "roll%2E1|2", "{7}")
	}
	var changed []string
	for i, p := range paths {
		g := d.gateways[i%len(d.gateways)]
		r := request{method: "POST", host: "jepu9.example", path: "/puka111/" + p, id: fmt.Sprintf("order%d", i), deadlineMS: 1200, body: "cut"}
		a := send(d.rec, g, r)
		ran := d.runs.of(r.id)
		if a.status != 200 || len(ran) != 1 {
			d.rec.add("%s was answered %d and ran %d times", r.id, a.status, len(ran))
			continue
		}
		if ran[0].path != r.path {
			changed = append(changed, fmt.Sprintf("%s became %s", r.path, ran[0].path))
		}
	}
	if len(changed) > 0 {
		return fmt.Sprintf("UNASKED: servers ran requests with the path changed: %v", changed), nil
	}
	return "", nil
}
