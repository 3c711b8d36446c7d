#!/usr/bin/env bash
# Checks every specification under spec/ with spin: each must hold as it stands, and each broken variant that its
# header names must be refuted. Installs the checker where it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc >/dev/null; }

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Explores a specification exhaustively; prints the number of states and whether an error was found.
explore() {
  local spec=$1 flags=$2
  local dir
  dir=$(mktemp -d "$work/XXXX")
  cp "$spec" "$dir/model.pml"
  (
    cd "$dir"
    # shellcheck disable=SC2086
    spin -a $flags model.pml >/dev/null
    gcc -O2 -DSAFETY -DMEMLIM=6000 -DCOLLAPSE -DNOREDUCE -w -o pan pan.c
    ./pan -m200000 >out.txt || true
    grep -q 'max search depth too small\|out of memory\|reached -DMEMLIM' out.txt && { echo incomplete; exit; }
    states=$(awk '/states, stored/ {print $1; exit}' out.txt)
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' out.txt | head -1)
    echo "${errors:-?} ${states:-?}"
  )
}

failed=0
passed=0
judge() {
  local name=$1 wanted=$2 result=$3
  local errors=${result%% *}
  if [ "$errors" = "$wanted" ]; then
    passed=$((passed + 1))
    echo "  ok    $name (states ${result##* })"
  else
    failed=$((failed + 1))
    echo "  WRONG $name: wanted errors $wanted, got $result"
  fi
}

for spec in spec/*.pml; do
  echo "$spec"
  judge "holds as it stands" 0 "$(explore "$spec" "")"
  for variant in $(grep -oE -- '-D[A-Z_]+ \(' "$spec" | grep -oE '[A-Z_]{2,}' | sed 's/^D//'); do
    judge "refuted without the rule: $variant" 1 "$(explore "$spec" "-D$variant")"
  done
done
echo "model checks: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
