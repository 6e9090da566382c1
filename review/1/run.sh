#!/usr/bin/env bash
# Exits with 1 if accepted jobs are left lying after more than half of the gateways were lost for good, with 0 if
# not, and with 2 if the case could not run. With TROUBLE=0 no gateway is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/cuminrampd ] && [ -x target/review/standin ] || { echo "build first, see review/build.sh" >&2; exit 2; }
exec target/review/standin majority-lost target/release/cuminrampd review/1/record.txt
