#!/bin/sh
# Builds the stand-ins that the scripts start: one program, review/bin/cases.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/cases ./review/cases
