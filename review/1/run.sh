#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken.
cd "$(dirname "$0")" && exec python3 case.py
