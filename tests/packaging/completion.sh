#!/usr/bin/env bash
# Checks that the bash completion offers the subcommands and options that the program's help lists.
#   completion.sh PROGRAM COMPLETION
set -euo pipefail
program=$1
source "$2"

# Prints the completions of the last word of a command line, one per line, sorted.
completions() {
  COMP_WORDS=(godwitliftctl "$@")
  COMP_CWORD=$#
  COMPREPLY=()
  _godwitliftctl
  printf '%s\n' "${COMPREPLY[@]}" | sort
}

help_commands=$("$program" --help | sed -n '/^Subcommands:/,/^$/p' | awk '/^  [a-z]/{print $1}' | sort)
if [ "$(completions '')" != "$help_commands" ]; then
  echo "commands offered: $(completions '' | tr '\n' ' '), listed: $(echo "$help_commands" | tr '\n' ' ')"
  exit 1
fi
for command in $help_commands; do
  for option in $("$program" "$command" --help | grep -o '^ *\(-[a-z],\)\?--[a-z-]*' | tr -d ' ' | sed 's/^-.,//'); do
    if ! completions "$command" -- | grep -qx -- "$option"; then
      echo "$command: $option is not offered"
      exit 1
    fi
  done
done
[ "$(completions status --output j)" = json ]
echo "completion matches the help of $(echo "$help_commands" | wc -l) commands"
