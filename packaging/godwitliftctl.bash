# Bash completion for godwitliftctl.
_godwitliftctl() {
  local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands="check plan diff rollback drain confirm show status history explain review"
  local command= word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case " $commands " in *" $word "*) command=$word; break ;; esac
  done
  case $previous in
  --output) COMPREPLY=($(compgen -W "text json" -- "$current")); return ;;
  --node | --token | --note | --operation | --wait-seconds | --after) return ;;
  --save | --in-force | --settings) COMPREPLY=($(compgen -f -- "$current")); return ;;
  esac
  local options="--help --version --node --token --output"
  case $command in
  plan | rollback) options="$options --save" ;;
  drain) options="$options --save --undo" ;;
  confirm) options="$options --operation --note --yes --no-wait --wait-seconds" ;;
  history) options="$options --after" ;;
  review) options="$options --in-force --settings" ;;
  esac
  if [[ $current == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$current"))
  elif [[ -z $command ]]; then
    COMPREPLY=($(compgen -W "$commands" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}
complete -o filenames -F _godwitliftctl godwitliftctl
