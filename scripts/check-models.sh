#!/usr/bin/env bash
# Checks every model under spec/ with spin: the model must have no error, and spin must find an error in each broken variant
# that is listed in the header of the model. Installs spin and gcc if spin is missing.
set -euo pipefail
cd "$(dirname "$0")/.."

command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin gcc >/dev/null; }

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Explores a model exhaustively; prints the number of errors and of stored states, or "incomplete".
explore() {
  local model=$1 flags=$2
  local dir
  dir=$(mktemp -d "$work/XXXX")
  cp "$model" "$dir/model.pml"
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
# Compares the result of an exploration with the expected number of errors.
check_result() {
  local name=$1 expected=$2 result=$3
  local errors=${result%% *}
  if [ "$errors" = "$expected" ]; then
    passed=$((passed + 1))
    echo "  ok    $name (states ${result##* })"
  else
    failed=$((failed + 1))
    echo "  FAIL  $name: expected $expected errors, got \"$result\" (errors, states)"
  fi
}

for model in spec/*.pml; do
  echo "$model"
  check_result "unmodified model holds" 0 "$(explore "$model" "")"
  # A variant is listed in the header as `-DNAME (what is broken)`, also across the end of a line.
  for variant in $(sed -E 's/^ \* ?//' "$model" | tr '\n' ' ' | grep -oE -- '-D[A-Z_]+ \(' | grep -oE '[A-Z_]{2,}' | sed 's/^D//'); do
    check_result "variant refuted: $variant" 1 "$(explore "$model" "-D$variant")"
  done
done
echo "model checks: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
