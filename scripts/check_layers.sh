#!/usr/bin/env bash
# Fails when a file includes a header of a higher layer, when a project header includes a heavy third-party header, or
# when a name of the users' platform stands outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(base state placement coordination protocol transport daemon gateway)
failed=0
for ((i = 0; i < ${#layers[@]}; i++)); do
  for ((j = i + 1; j < ${#layers[@]}; j++)); do
    if grep -rnE "#include \"${layers[j]}/" "src/${layers[i]}" 2>/dev/null; then
      echo "error: src/${layers[i]} must not include src/${layers[j]}; move the interface to the lower layer" >&2
      failed=1
    fi
  done
done
if grep -rnE '#include <(nlohmann|cereal|boost/histogram|catch2|rapidcheck|easylogging)' src platform --include='*.h' \
  | grep -v 'nlohmann/json_fwd.hpp'; then
  echo "error: include third-party headers in .cc files only; they slow every build" >&2
  failed=1
fi
if grep -rn '#include "platform/' src standins tools; then
  echo "error: only platform/ and its tests know the users' platform; build what it needs in the product" >&2
  failed=1
fi
wire_names='[Xx]-[Qq]uetzalridge-|QUETZALRIDGE_SETTINGS|FencingToken|/api/(rows|blob|order|report|lots|items|kv-|hold-|readiness)'
# x-quetzalridge-reason is a header of the product's own interface.
if grep -rnE "$wire_names" src standins tools | grep -v 'x-quetzalridge-reason'; then
  echo "error: a name of the users' platform outside platform/; decode it there into the product's words" >&2
  failed=1
fi
exit "$failed"
