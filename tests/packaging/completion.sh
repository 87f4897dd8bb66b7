#!/usr/bin/env bash
# The completion offers the commands and options that the program's help lists.
#   completion.sh PROGRAM COMPLETION
set -euo pipefail
program=$1
source "$2"

# The words offered for a command line whose last word is being typed.
offered() {
  COMP_WORDS=(godwitliftctl "$@")
  COMP_CWORD=$#
  COMPREPLY=()
  _godwitliftctl
  printf '%s\n' "${COMPREPLY[@]}" | sort
}

listed=$("$program" --help | sed -n '/^Subcommands:/,/^$/p' | awk '/^  [a-z]/{print $1}' | sort)
if [ "$(offered '')" != "$listed" ]; then
  echo "commands offered: $(offered '' | tr '\n' ' '), listed: $(echo "$listed" | tr '\n' ' ')"
  exit 1
fi
for command in $listed; do
  for option in $("$program" "$command" --help | grep -o '^ *\(-[a-z],\)\?--[a-z-]*' | tr -d ' ' | sed 's/^-.,//'); do
    if ! offered "$command" -- | grep -qx -- "$option"; then
      echo "$command: $option is not offered"
      exit 1
    fi
  done
done
[ "$(offered status --output j)" = json ]
echo "completion matches the help of $(echo "$listed" | wc -l) commands"
