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
# Test files of KNOWN-RED.txt (up to the first colon) may fail; what they show is printed. Its other lines name runs
# that are too long for here.
known_red=$(cut -d: -f1 KNOWN-RED.txt 2>/dev/null | while read -r name; do [ ! -f "$name" ] || echo "$name"; done)
npm test -- ${known_red:+--testPathIgnorePatterns $known_red}
[ -z "$known_red" ] || npx jest $known_red || echo "Red as listed in KNOWN-RED.txt"
npm run --silent build:box
npm run --silent soak -- --seeds 1 --from 1 --seconds 8
# A seed that failed: the proxy of the soak passed bytes out of their order when a delay ended (mended there).
npm run --silent soak -- --seeds 1 --from 301
# Seeds held for broken by checks of the soak that were wrong: a probe by a box that had just stood still; repeats of probes
# that did not count as requests themselves.
npm run --silent soak -- --seeds 1 --from 840
npm run --silent soak -- --seeds 1 --from 711 --boxes 20 --callers 24
# Guards against requests to endpoints that announced in a response that they are about to leave.
npm run --silent soak -- --seeds 1 --from 901 --announcements
# Guards against stale lists after the store was restored from a backup.
npm run --silent soak -- --seeds 1 --from 924 --restores --seconds 25
