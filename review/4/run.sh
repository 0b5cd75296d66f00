#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/standins-2
[ -x "$program" ] && [ -x target/release/seamfront ] || { echo "not built: see deploy/service.toml and review/build-2.sh"; exit 2; }
exec "$program" blocked review/4
