#!/usr/bin/env bash
# Installs, builds and runs the demonstration: a user's deployment on loopback. Takes --deployment lavanda|granja.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/most ] || npm ci --no-audit --no-fund
npm run --silent build
exec node packages/standins/dist/demo.js "$@"
