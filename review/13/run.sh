#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/13/case.mjs
