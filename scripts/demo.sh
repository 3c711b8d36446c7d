#!/usr/bin/env bash
# Installs missing dependencies, builds, and runs the demo: the deployment of one of the two users on loopback, chosen with
# `--deployment lavanda|granja`.
set -euo pipefail
cd "$(dirname "$0")/.."
npm ls >/dev/null 2>&1 || npm ci --no-audit --no-fund
npm run --silent build
exec node packages/standins/dist/demo.js "$@"
