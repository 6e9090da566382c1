#!/usr/bin/env bash
# Checks the protocol models exhaustively with Spin. Each model must hold, and each of its mutants
# must be caught: a check that nothing can break proves nothing.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
failed=0

# run NAME DEFINES: prints "holds" or "broken".
run() {
  local model=$1; shift
  local dir="$out/$model-${*// /-}"
  mkdir -p "$dir"
  (
    cd "$dir"
    spin -a "$@" "$OLDPWD/$model.pml" >/dev/null
    gcc -O2 -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=8000 -DVECTORSZ=4096 -o pan pan.c 2>/dev/null
    ./pan -m1000000 >result
  )
  if ! grep -q "errors: 0" "$dir/result"; then
    echo broken
  elif grep -qE "max search depth too small|out of memory|aborted" "$dir/result"; then
    echo incomplete
  else
    echo "holds ($(grep -oE '[0-9]+ states, stored' "$dir/result" | head -1))"
  fi
}

expect() {
  local wanted=$1 model=$2; shift 2
  local found
  found=$(run "$model" "$@")
  printf '%-12s %-28s %s\n' "$model" "${*:-as it is}" "$found"
  case "$found" in "$wanted"*) ;; *) failed=1 ;; esac
}

for model in tokens chunks marks usage_counts acceptance job_writer slots cold drains; do
  expect holds "$model"
  for mutant in $(grep -oE 'MUTANT_[A-Z_]+' "$model.pml" | sort -u); do
    expect broken "$model" "-D$mutant"
  done
done
# The same with tokens that come in, for which there are too many states with a larger burst.
expect holds usage_counts -DBURST=12 -DTICKS=1
exit "$failed"
