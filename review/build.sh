#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript modules of this folder, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
