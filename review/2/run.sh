#!/usr/bin/env bash
# A planned stop while requests wait for a slot of a busy service. TROUBLE=0: no stop.
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" "$(dirname "${BASH_SOURCE[0]}")"
