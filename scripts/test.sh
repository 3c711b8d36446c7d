#!/usr/bin/env bash
# Installs what is missing, then runs formatter, linter, types, model checks, tests and a short soak.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules/most ] || npm ci --no-audit --no-fund
npm run --silent format:check
npm run --silent build
npx tsc -p tsconfig.test.json
npm run --silent lint
scripts/check-models.sh
npm test
npm run --silent build:box
npm run --silent soak -- --seeds 1 --from 1 --seconds 8
# A seed that failed: the proxy of the soak passed bytes out of their order when a delay ended (mended there).
npm run --silent soak -- --seeds 1 --from 301
