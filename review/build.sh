#!/bin/sh
# Prepares what the scripts under review/ start. The stand-ins are plain Python of the
# standard library, so there is only a syntax check; the programs are built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
