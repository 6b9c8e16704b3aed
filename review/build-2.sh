#!/bin/sh
# Check that everything the cases 6 to 10 start can be started.
#
# The cases start the instances with the command of deploy/system.toml and the
# project's stand-in of the platform, both in Python. Their packages are those
# that the build of the deploy file puts under target/deps; no other is needed.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
PYTHONPATH=target/deps python3 -S -c '
import pomelopass.entry.process
import standins.platform
'
echo 'The stand-ins and the instances can be started.'
