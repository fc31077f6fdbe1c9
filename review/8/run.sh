#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
exec python3 "$(dirname "$0")/case.py"
