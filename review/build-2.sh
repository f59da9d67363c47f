#!/bin/sh
# Builds the programs of the cases 4 to 6, with the clients and stand-ins that they use.
cd "$(dirname "$0")/.." || exit 1
mkdir -p review/bin/cases-2 || exit 1
exec go build -o review/bin/cases-2/ ./review/cases-2/lostresume ./review/cases-2/lapse ./review/cases-2/unstopped
