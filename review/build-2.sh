#!/usr/bin/env bash
# After the build of deploy/system.toml: nothing is compiled; checks that the cases' stand-ins can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -c "import harness_2"
