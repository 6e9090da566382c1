#!/usr/bin/env bash
# Checks the protocol models exhaustively with Spin. Each model must hold, and each of its mutants must be
# broken: a mutant that holds shows that the assertions do not detect the failure it stands for.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
failed=0

# run MODEL DEFINES...: prints "holds" with the number of states, "broken" if Spin finds an error, or
# "incomplete" if the search ran into a limit of depth or memory.
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

# expect VERDICT MODEL DEFINES...: runs the model and records a failure unless it has this verdict.
expect() {
  local wanted=$1 model=$2; shift 2
  local found
  found=$(run "$model" "$@")
  printf '%-12s %-40s %s\n' "$model" "${*:-as it is}" "$found"
  case "$found" in "$wanted"*) ;; *) failed=1 ;; esac
}

for model in tokens chunks marks usage_counts acceptance job_writer slots admission cold drains discovery token_owner statuses; do
  expect holds "$model"
  for mutant in $(grep -oE 'MUTANT_[A-Z_]+' "$model.pml" | sort -u); do
    expect broken "$model" "-D$mutant"
  done
done
# With tokens that are added during the run. The burst is smaller, since there are too many states otherwise.
expect holds usage_counts -DBURST=12 -DTICKS=1
exit "$failed"
