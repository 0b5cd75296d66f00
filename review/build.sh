#!/usr/bin/env bash
# The stand-ins are one Python program without dependencies (3.9 or newer); this compiles it.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
python3 -m py_compile harness/standins.py ?/case.py more/*.py
