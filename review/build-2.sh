#!/bin/sh
# Builds what cases 6 to 10 start, after the build of the deploy file. The stand-ins are Python files that need the
# standard library alone, so this only checks that the interpreter is there and that they compile.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "no .venv/bin/python: run the build of the deploy file first"; exit 2; }
for file in review/stand_ins_2.py review/streams_2.py review/6/case.py review/7/case.py review/8/case.py; do
    .venv/bin/python -B -c "compile(open('$file', encoding='utf-8').read(), '$file', 'exec')" || exit 2
done
