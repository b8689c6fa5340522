#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.." && python3 -m compileall -q review
