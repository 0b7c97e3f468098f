#!/usr/bin/env bash
# Measures processor time, memory and the sizes of the host list and the state dump of one entry host for host lists of
# several sizes. The entry host is the only one in its region and owns all of it; no endpoints run.
#
# Usage: tests/hostlist.sh [ENDPOINTS SERVICES]...   (default: three sizes up to 27000 endpoints in 3600 services)
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-bin}
settle_s=${SETTLE:-6}
changes=5
folder=$(mktemp -d)
started=()
finish() {
	for id in "${started[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
	wait
	rm -rf "$folder"
}
trap finish EXIT

# hosts ENDPOINTS SERVICES prints a host list with 4 regions and 15 availability zones; no process listens at the
# addresses of its endpoints.
hosts() {
	awk -v n="$1" -v s="$2" 'BEGIN {
		printf "["
		for (i = 0; i < n; i++) {
			zone = int(i / s + i) % 15
			printf "%s{\"id\":\"service_%d-%d\",\"role\":\"endpoint\",\"service\":\"service_%d\",\"region\":\"region-%d\",\"availability_zone\":\"zone-%d\",\"address\":\"127.0.0.1:1\",\"slots\":2,\"connections\":220,\"state\":\"live\"}\n", (i ? "," : ""), i % s, i / s, i % s, zone % 4, zone
		}
		printf "]"
	}'
}

# address FILE FIELD waits for the ready line of a program in its output FILE and prints the address in that FIELD.
address() {
	for _ in $(seq 200); do
		if grep -q "\"$2\"" "$1"; then
			sed -n "s/.*\"$2\":\"\([^\"]*\)\".*/\1/p" "$1" | head -1
			return
		fi
		sleep 0.05
	done
	echo "hostlist: no field $2 in $1" >&2
	return 1
}

# processor PID prints the processor time that a process has used since its start, in milliseconds.
processor() { awk '{print ($14 + $15) * 10}' "/proc/$1/stat"; }
# resident PID prints the resident memory of a process in MiB.
resident() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }

# measure ENDPOINTS SERVICES prints one row of the table.
measure() {
	local endpoints=$1 services=$2
	sed "s/oberbayern/region-0/; s/franken/region-1/; s/schwaben/region-2/" samples/brandstaetter.yaml >"$folder/document.yaml"
	hosts "$endpoints" "$services" >"$folder/hosts.json"
	"$bin/standin" platform --hosts "$folder/hosts.json" >"$folder/platform" 2>&1 &
	local platform=$!
	started+=("$platform")
	local url
	url=http://$(address "$folder/platform" address)
	POPLARHOOK_ADMIN_TOKENS=brandstaetter:token-one,operators:token-two "$bin/poplarhook" serve --host-id entry-0 --region region-0 \
		--availability-zone zone-0 --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --admin-listen 127.0.0.1:0 \
		--store-url "$url" --host-list-url "$url" >"$folder/entry" 2>"$folder/log" &
	local entry=$!
	started+=("$entry")
	local admin
	admin=http://$(address "$folder/entry" admin_address)
	POPLARCTL_TOKEN=token-one "$bin/poplarctl" config apply "$folder/document.yaml" --admin "$admin" >/dev/null
	sleep "$settle_s"
	local before after dump list groups
	before=$(processor "$entry")
	sleep 5
	after=$(processor "$entry")
	local idle_ms_per_s=$(((after - before) / 5))
	list=$(curl -fsS "$url/v1/hosts" | wc -c)
	curl -fsS -H "Authorization: Bearer token-two" "$admin/debug/state" >"$folder/state" || true
	dump=$(wc -c <"$folder/state")
	groups=$(grep -o '"group":' "$folder/state" | wc -l)
	before=$(processor "$entry")
	for i in $(seq "$changes"); do
		curl -fsS -X POST "$url/standin/hosts" -d '{"id":"changed","role":"endpoint","service":"service_0","region":"region-1","availability_zone":"zone-1","address":"127.0.0.1:1","slots":'"$i"',"connections":220,"state":"live"}' >/dev/null
		sleep 1
	done
	after=$(processor "$entry")
	local refresh=$(((after - before - idle_ms_per_s * changes) / changes))
	printf '%9d %9d %7d %13.2f %13.2f %12s %17.1f %15d\n' "$endpoints" "$services" "$groups" \
		"$(awk "BEGIN {print $list / 1048576}")" "$(awk "BEGIN {print $dump / 1048576}")" "$(resident "$entry")" "$(awk "BEGIN {print $idle_ms_per_s / 10}")" "$refresh"
	kill -TERM "$entry"
	wait "$entry" || true
	kill -TERM "$platform"
	wait "$platform" || true
	started=()
}

echo "endpoints  services  groups  host_list_MiB  state_dump_MiB  resident_MiB  core_%_at_rest  refresh_processor_ms"
if [ $# -eq 0 ]; then
	set -- 3000 400 9000 1200 27000 3600
fi
while [ $# -gt 0 ]; do
	measure "$1" "$2"
	shift 2
done
