#!/usr/bin/env bash
# Checks every Promela model with Spin and verifies that Spin finds every seeded fault.
set -euo pipefail
cd "$(dirname "$0")"
JOBS=${JOBS:-3}
MEMORY_MB=900  # limit of one search
DEPTH=100000
TIMEOUT=300    # limit of one search in seconds

# Each line: the model, its sizes, and "holds" or the seeded fault that Spin must find.
checks() {
	cat <<-'LIST'
		lease -DTTL=2 holds
		lease -DCRASHES=0 holds
		lease -DHOSTS=3,-DWRITES=1,-DTTL=2,-DCRASHES=0 holds
		configuration -DHOSTS=2,-DRELAYS=1,-DRESTARTS=0 holds
		configuration -DHOSTS=2,-DRELAYS=1,-DRESTARTS=0,-DSAME_TEAM=1 holds
		configuration -DPUBLISHERS=0,-DCHANGES=3 holds
		once -DREQUESTS=1,-DSENDS=3 holds
		once -DREQUESTS=1,-DSENDS=3,-DONCE=0 holds
		once -DONCE=2,-DENDPOINTS=1 holds
		once -DONCE=2 holds
		once -DSENDS=1,-DENDPOINTS=1 holds
		supply -DCHANGES=4,-DSWITCHES=2 holds
		relay -DN=3,-DMAXHOPS=2,-DEVENTS=6 holds
		relay -DN=4,-DMAXHOPS=2,-DEVENTS=4 holds
		lease -DTTL=2 SEED_TERM_FROM_REPLY
		lease -DTTL=2 SEED_NO_DEADLINE_WAIT
		lease -DTTL=2 SEED_NO_CHECK_BEFORE_SENDING
		lease -DTTL=2 SEED_PAUSE_AFTER_LAST_CHECK
		lease -DTTL=2 SEED_RELEASE_WITH_CREDITS_OUT
		lease -DTTL=2 SEED_REGAINED_UNDER_ONE_LEASE
		lease -DTTL=2 SEED_KNOWN_BY_NAME
		lease -DTTL=2,-DCRASHES=0 SEED_UNCONDITIONAL
		configuration -DHOSTS=2,-DRELAYS=1,-DRESTARTS=0 SEED_UNCONDITIONAL
		configuration -DHOSTS=2,-DRELAYS=1,-DRESTARTS=0 SEED_NO_READ_BACK
		configuration -DPUBLISHERS=0,-DCHANGES=3 SEED_ACCEPT_OLDER_INDEX
		configuration -DPUBLISHERS=0,-DCHANGES=3 SEED_ADOPT_BEFORE_HEARTBEATS
		configuration -DPUBLISHERS=0,-DCHANGES=3 SEED_ACCEPT_LESS_THAN_REPORTED
		supply -DCHANGES=3 SEED_HIGHEST_REVISION
		supply -DCHANGES=3 SEED_BASE_OF_THE_LAST_LIST
		supply -DCHANGES=3 SEED_ADOPT_OLDER_VIEW
		relay -DN=3,-DMAXHOPS=2,-DEVENTS=6 SEED_NO_BOUND_ON_HOPS
		relay -DN=3,-DMAXHOPS=2,-DEVENTS=6 SEED_HOPS_RESET
		once -DREQUESTS=1 SEED_HEDGE_ONCE_ONLY
		once -DREQUESTS=1 SEED_RETRY_AFTER_PARTIAL_WRITE
		once -DREQUESTS=1 SEED_LATE_IS_NOT_RUN
		once -DSENDS=1,-DENDPOINTS=1 SEED_TRANSPORT_RESENDS
		once -DSENDS=1,-DENDPOINTS=1 SEED_REUSE_AFTER_ABANDONED
	LIST
}

require() {
	command -v "$1" >/dev/null && return
	if ! command -v apt-get >/dev/null || [ "$(id -u)" -ne 0 ]; then
		echo "spec: $1 is missing and cannot be installed automatically, which needs root and apt-get: install the package $1" >&2
		exit 1
	fi
	echo "spec: installing $1" >&2
	if ! { apt-get update && apt-get install -y "$1"; } >&2; then
		echo "spec: $1 is missing and apt-get could not install it" >&2
		exit 1
	fi
}

# check prints one row of the result table and fails unless the verdict is the expected one.
check() {
	local model=$1 sizes=${2//,/ } want=$3 work options row verdict caught started
	work=$(mktemp -d "$WORK/XXXXXX")
	options=$sizes
	[ "$want" = holds ] || options="$sizes -D$want"
	(
		cd "$work"
		# $options is split into words on purpose: no name and no size contains a space.
		# shellcheck disable=SC2086
		spin -a $options "$SPEC/$model.pml" && gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM="$MEMORY_MB" -o pan pan.c
	) >"$work/build.log" 2>&1 || { echo "FAILED to build $model $options"; cat "$work/build.log"; return 1; }
	started=$(date +%s.%N)
	(cd "$work" && timeout "$TIMEOUT" ./pan -m"$DEPTH" -w23) >"$work/pan.log" 2>&1 || true
	verdict=wrong
	caught=$(sed -n 's/^pan:1: \(assertion violated .*\) (at depth.*/\1/p' "$work/pan.log")
	if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM|bit ?state' "$work/pan.log" || ! grep -q 'errors: ' "$work/pan.log"; then
		verdict=truncated
	elif [ "$want" = holds ]; then
		grep -q 'errors: 0$' "$work/pan.log" && ! grep -q 'Search not completed' "$work/pan.log" && verdict=holds
	elif [ -n "$caught" ]; then
		verdict=caught
	fi
	row=$(printf '%-14s %-48s %-36s %-9s %9s states, depth %4s, %5.1f s' "$model" "$sizes" "$want" "$verdict" \
		"$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$work/pan.log")" \
		"$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' "$work/pan.log")" \
		"$(echo "$(date +%s.%N) $started" | awk '{print $1 - $2}')")
	echo "$row${caught:+  $caught}"
	case $verdict in
	holds | caught) return 0 ;;
	esac
	echo "spec: $model $options: expected ${want/#S*/the seeded fault to be found}, last lines of the search log:" >&2
	tail -20 "$work/pan.log" >&2
	return 1
}

require spin
require gcc
SPEC=$(pwd)
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
export SPEC WORK MEMORY_MB DEPTH TIMEOUT
export -f check

# Fails if a seeded fault of a model is missing from the list of checks.
for model in lease configuration once supply relay; do
	for seed in $(grep -oE 'SEED_[A-Z_]+' "$model.pml" | sort -u); do
		checks | grep -q "^$model .* $seed\$" || { echo "spec: $seed of $model.pml is not checked" >&2; exit 1; }
	done
done

status=0
checks | xargs -P "$JOBS" -L 1 bash -c 'check "$@"' check >"$WORK/rows" 2>"$WORK/errors" || status=1
sort "$WORK/rows"
cat "$WORK/errors" >&2
if [ "$(grep -cE ' (holds|caught) +[0-9]+ states' "$WORK/rows")" -ne "$(checks | wc -l)" ]; then
	status=1
fi
[ "$status" -eq 0 ] && echo "spec: all $(checks | wc -l) checks gave the expected result"
exit "$status"
