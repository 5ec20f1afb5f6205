#!/bin/sh
# Puts what the deployed processes import under target/deps: the libraries, then the own packages.
set -eu
python3 -m pip install -q --disable-pip-version-check -U --target target/deps \
  -c constraints.txt -r deploy/requirements.txt
for source in packages/core/src packages/node/src platform/src; do
  cp -R "$source"/. target/deps/
done
touch target/deps
