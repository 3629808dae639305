#!/usr/bin/env bash
# The stand-ins are Python and run in the process of a case: there is nothing to compile. After the build of
# the deploy file this checks that the project's own stand-ins and the libraries can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 review/check.py
