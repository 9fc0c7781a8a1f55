//! Completion for shells, made from the commands' own help, so that it can't lag behind them.

use crate::flags::Njctl;

/// Flags of a command, or of all (with an empty name); its own commands count among them.
#[derive(Debug, Default, PartialEq)]
struct Words {
    name: String,
    flags: Vec<String>,
}

/// The general flags, then each command with its own.
fn words() -> Vec<Words> {
    let mut all = vec![Words::default()];
    let help = Njctl::from_vec(vec!["--help".into()]).err().map(|help| help.to_string()).unwrap_or_default();
    for line in help.lines() {
        if let Some(name) = line.strip_prefix("njctl ") {
            // A command's own commands are words like its flags.
            if let Some((_, own)) = name.split_once(' ') {
                // One that has two names is told with both.
                let own: Vec<String> = own.split(" | ").map(String::from).collect();
                all.last_mut().into_iter().for_each(|words| words.flags.extend(own.clone()));
                continue;
            }
            all.push(Words { name: name.to_string(), flags: Vec::new() });
        }
        let flag = line.trim_start().split([' ', ',']).find(|word| word.starts_with("--"));
        if let (true, Some(flag), Some(words)) = (line.trim_start().starts_with('-'), flag, all.last_mut()) {
            words.flags.push(flag.to_string());
        }
    }
    all
}

/// The script for a shell: `bash`, `zsh` or `fish`; `None`: another one.
pub fn script(shell: &str) -> Option<String> {
    let words = words();
    let (general, commands) = words.split_first()?;
    let names = commands.iter().map(|command| &command.name[..]).collect::<Vec<_>>().join(" ");
    let common = general.flags.join(" ");
    match shell {
        "bash" => Some(bash(commands, &names, &common)),
        // Its own bash completion reads the same script.
        "zsh" => Some(format!(
            "#compdef njctl\nautoload -U +X bashcompinit && bashcompinit\n{}",
            bash(commands, &names, &common)
        )),
        "fish" => Some(fish(commands, &names, &general.flags)),
        _ => None,
    }
}

fn bash(commands: &[Words], names: &str, common: &str) -> String {
    let mut cases = String::new();
    for command in commands {
        cases += &format!("      {}) words=\"{}\" ;;\n", command.name, command.flags.join(" "));
    }
    format!(
        r#"_njctl() {{
  local word=${{COMP_WORDS[COMP_CWORD]}} command= words= each
  for each in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
    case " {names} " in *" $each "*) command=$each; break ;; esac
  done
  if [ -z "$command" ]; then
    words="{names}"
  else
    case $command in
{cases}    esac
  fi
  COMPREPLY=($(compgen -W "$words {common}" -- "$word"))
  [ -n "$command" ] && [ "${{word#-}}" = "$word" ] && COMPREPLY+=($(compgen -f -- "$word"))
}}
complete -F _njctl njctl
"#
    )
}

fn fish(commands: &[Words], names: &str, common: &[String]) -> String {
    let mut text = String::new();
    for flag in common {
        text += &format!("complete -c njctl -l {}\n", flag.trim_start_matches('-'));
    }
    for command in commands {
        let name = &command.name;
        text += &format!("complete -c njctl -n 'not __fish_seen_subcommand_from {names}' -a {name}\n");
        for flag in &command.flags {
            let own = !flag.starts_with('-');
            let flag = flag.trim_start_matches('-');
            let kind = if own { "-a" } else { "-l" };
            text += &format!("complete -c njctl -n '__fish_seen_subcommand_from {name}' {kind} {flag}\n");
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_command_and_flag_of_the_macro_is_in_every_script() {
        // The macro's own text, not the help that the scripts are made from.
        let source = include_str!("flags.rs");
        let after = |kind: &str| -> Vec<String> {
            let words = source.lines().filter_map(|line| line.trim().strip_prefix(kind));
            words.filter_map(|rest| Some(rest.split([' ', '{']).next()?.to_string())).collect()
        };
        let commands: Vec<String> = after("cmd ").into_iter().filter(|name| name != "njctl").collect();
        let flags = after("optional --");
        assert!(commands.len() > 9 && flags.len() > 8, "{commands:?} {flags:?}");
        for shell in ["bash", "zsh", "fish"] {
            let script = script(shell).unwrap();
            let words: Vec<&str> = script.split([' ', '"', '\n', ')']).collect();
            for command in &commands {
                assert!(words.contains(&&command[..]), "{shell}: {command} in\n{script}");
            }
            for flag in &flags {
                let long = format!("--{flag}");
                assert!(
                    words.contains(&&flag[..]) || words.contains(&&long[..]),
                    "{shell}: {flag} in\n{script}"
                );
            }
        }
        let trial = script("bash").unwrap();
        assert!(trial.contains("trial) words=\"lapse restore state status plan --config\""), "{trial}");
        assert_eq!(script("tcsh"), None);
    }
}
