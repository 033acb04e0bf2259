#!/bin/bash
# Plays one case: `play.sh CASE FOLDER`. Starts the stand-ins and, by the command `run` of the deploy file, one
# router; ends both. TROUBLE=0 leaves the disruption out.
set -u
case_name=$1
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
rig=target/review/rig
[ -n "$run" ] && [ -x "$rig" ] && [ -x target/release/woadhook ] || { echo "not built"; exit 2; }
work=$(mktemp -d) || exit 2
mkdir "$work/tmp"
rig_pid= router_pid=
finish() {
    for pid in $router_pid $rig_pid; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$rig" "$case_name" "$work" "$folder/record.txt" "${TROUBLE:-1}" &
rig_pid=$!
for _ in $(seq 200); do [ -e "$work/config.json" ] && break; sleep 0.05; done
[ -e "$work/config.json" ] || { echo "no configuration"; exit 2; }
LB_NAME=n0 LB_LISTEN=$(cat "$work/listen") LB_CONFIG=$work/config.json TMPDIR=$work/tmp RUST_LOG=${RUST_LOG:-info} \
    /bin/sh -c "$run" >"${ROUTER_LOG:-$work/router.log}" 2>&1 &
router_pid=$!
wait "$rig_pid"
verdict=$?
rig_pid=
if ! kill -0 "$router_pid" 2>/dev/null; then
    echo "the router ended by itself"
    verdict=2
fi
case $verdict in 0 | 1) exit "$verdict" ;; *) exit 2 ;; esac
