#!/bin/sh
# Puts what the deployed processes import under target/deps: the libraries, then the own packages.
set -eu
python3 -m pip install -q --disable-pip-version-check -U --target target/deps \
  -c constraints.txt -r deploy/requirements.txt
for source in packages/core/src packages/node/src platform/src; do
  cp -R "$source"/. target/deps/
done
# Hosts may not write beside the sources; compiling them at each start would delay it.
python3 -m compileall -q target/deps/carobspool_core target/deps/carobspool_node target/deps/carobspool_platform
touch target/deps
