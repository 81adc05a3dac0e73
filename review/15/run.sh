#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/15/case.mjs
