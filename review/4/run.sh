#!/usr/bin/env bash
# The store comes back from a copy some seconds old. TROUBLE=0: it comes back as it was.
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" "$(dirname "${BASH_SOURCE[0]}")"
