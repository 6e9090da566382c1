#!/bin/bash
# Plays the case and writes record.txt. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
target/review-2/drill late-in-drain "$folder/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
