#!/bin/sh
# Builds what the scripts start: the stand-ins are plain Python; the program's own byte code makes its first start quick.
set -e
cd "$(dirname "$0")/.."
python3 -OO -m compileall -q bitternpath
python3 -m compileall -q review/lib review/[1-3]
