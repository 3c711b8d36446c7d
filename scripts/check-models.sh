#!/usr/bin/env bash
# Checks every specification under spec/ with spin: the model itself must hold, each broken variant must be refuted.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
models=(spec/*.pml)
[ ${#models[@]} -gt 0 ] || { echo "no specifications yet"; exit 0; }
