package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// revokeMS is the bound on revocations, that of the sheet of maua-gw.
	revokeMS = 5000
	// cutHost is the gateway that is partitioned from the store.
	cutHost = 0
)

// tenants returns the table of tenants with their keys.
func tenants(keys map[string]string) map[string]any {
	rows := [][]any{}
	for _, name := range []string{"barley", "clover"} {
		held := []string{}
		if key := keys[name]; key != "" {
			held = append(held, key)
		}
		rows = append(rows, []any{name, held})
	}
	return map[string]any{"columns": []string{"name", "api_keys"}, "rows": rows}
}

// playRevoke takes a key away while one gateway is partitioned from the store. In the trouble the bounds on revocations come
// with a change of the settings files and SIGHUP; otherwise they stand there from the start.
func playRevoke(d *deployment, trouble bool) (string, error) {
	routes := []route{{"r-stock", shopHost, shopPrefix, "safe", "stock", 1000}}
	services := []string{"stock"}
	both := map[string]string{"barley": "key-barley-1", "clover": "key-clover-1"}
	d.store.put("config", "main", configuration(7, routes, services, tenants(both)))
	if err := d.addServers("stock", 6, 2, 20*time.Millisecond); err != nil {
		return "", err
	}
	way, err := newProxy(d.storeAt)
	if err != nil {
		return "", err
	}
	d.storeWays = map[int]string{cutHost: way.address()}
	bounds := map[string]any{"strict_revoke": true, "revoke_ms": revokeMS}
	if !trouble {
		d.bounds = bounds
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	if trouble {
		d.bounds = bounds
		for i, g := range d.gateways {
			if err := d.writeSettings(i); err != nil {
				return "", err
			}
			g.signal(syscall.SIGHUP)
			d.rec.add("settings of %s changed: strict_revoke true, revoke_ms %d; SIGHUP", g.name, revokeMS)
		}
	}
	time.Sleep(4 * time.Second)
	target := d.gateways[cutHost]
	if a := send(d.rec, target, withKey("before", both["barley"])); a.status != 200 {
		return "", fmt.Errorf("%w: no answer before the cut: %+v", errNotPlayed, a)
	}
	d.rec.add("%s is partitioned from the store", target.name)
	way.cut()
	time.Sleep(300 * time.Millisecond)
	d.store.put("config", "main", configuration(9, routes, services, tenants(map[string]string{"clover": both["clover"]})))
	confirmed := time.Now()
	d.rec.add("r9 is confirmed, without the key of barley")
	time.Sleep(revokeMS*time.Millisecond + 500*time.Millisecond)
	for i, g := range d.gateways {
		id := fmt.Sprintf("revoked%d", i)
		sentAt := time.Since(confirmed)
		send(d.rec, g, withKey(id, both["barley"]))
		if ran := d.runs.of(id); len(ran) > 0 {
			return fmt.Sprintf("CONFIG: %s, sent %.1f s after the confirmation of a configuration without its key, ran at %s (from %s)", id, sentAt.Seconds(), ran[0].server, g.name), nil
		}
	}
	return "", nil
}

func withKey(id, key string) request {
	r := ordinary(id)
	r.headers = []string{"X-Api-Key: " + key}
	return r
}
