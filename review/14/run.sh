#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/14/case.mjs
