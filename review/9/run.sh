#!/bin/sh
# Plays the case once; TROUBLE=0 plays it without the disruption. 1: the rule was broken, 0: it held, 2: it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/release/rig-2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x "$rig" ] && [ -x target/release/woadhook ] || exit 2
exec "$rig" taken-back review/9/record.txt "$run"
