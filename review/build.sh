#!/usr/bin/env bash
# The stand-ins need Python 3.11 alone: they are checked, and nothing is built.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 python3 -c \
    "import client, deployment, load, worker"
