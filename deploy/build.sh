#!/bin/sh
# Install the libraries and the packages into target/deps if a source has changed.
set -eu
stamp=target/deps/.built
sources="constraints.txt deploy/requirements.txt deploy/build.sh packages"
if [ -f "$stamp" ] && [ -z "$(find $sources -newer "$stamp" -type f ! -name '*.pyc' | head -1)" ]; then
    exit 0
fi
mkdir -p target/deps
if [ ! -f target/deps/.libraries ] || [ constraints.txt -nt target/deps/.libraries ] || [ deploy/requirements.txt -nt target/deps/.libraries ]; then
    python3 -m pip install -q -U --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch target/deps/.libraries
fi
for package in core node entry agent; do
    rm -rf "target/deps/primroselever_$package"
    cp -r "packages/primroselever-$package/src/primroselever_$package" target/deps/
done
touch "$stamp"
