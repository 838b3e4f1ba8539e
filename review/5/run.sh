#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0: no engine leaves. LATER=1: it leaves half a second after the list.
exec python3 "$(dirname "$0")/case.py"
