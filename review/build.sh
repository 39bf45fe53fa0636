#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, the project's own store among them. The
# router's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
