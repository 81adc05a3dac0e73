#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/11/case.mjs
