#!/usr/bin/env bash
# Exits with 1 if items of accepted jobs ran in a pool to which no configuration sends them, after a version of the
# configuration added a route, with 0 if not, and with 2 if the case could not run. With TROUBLE=0 no route is added.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cuminrampd ] && [ -x target/review/standin ] || { echo "build first, see review/build.sh" >&2; exit 2; }
exec target/review/standin route-added target/release/cuminrampd review/2/record.txt
