//! The command line's words.

use std::path::PathBuf;

use lexopt::Arg::Long;
use lexopt::Arg::Value;
use lexopt::Parser;
use lexopt::ValueExt as _;

const HELP: &str = "\
notchwharf: operates a fleet

Usage: notchwharf [--admin URL] [--json] COMMAND

Bundles:
  check FILE                            check a bundle without publishing it
  publish FILE --base VERSION|none --author NAME
                                        propose a bundle, based on a version
  sign-off VERSION --digest DIGEST --author NAME
                                        put a proposal in force
  bundle                                show the bundle in force
  history                               show what was proposed and signed off

Fleet:
  hosts                                 show hosts and the version each applies
  targets                               show targets and what they hold
  drain HOST                            let a host finish what it has, and leave

Jobs:
  jobs                                  show jobs
  cancel JOB                            cancel a job

Options:
  --admin URL  where a host listens for operators; else $NOTCHWHARF_ADMIN,
               else http://127.0.0.1:7701
  --json       print JSON
  --help       print this help
  --version    print the version

A typical change:
  notchwharf check next.json
  notchwharf publish next.json --base 41 --author ana
  notchwharf sign-off 57 --digest 9f0c... --author rui
  notchwharf hosts

Exit codes: 0 done, 1 refused, 2 wrong command line or unreadable file,
3 no host reached and nothing done, 4 sent but the outcome is not known.
";

const ADMIN_DEFAULT: &str = "http://127.0.0.1:7701";
const ADMIN_VARIABLE: &str = "NOTCHWHARF_ADMIN";

/// A command with its options.
#[derive(Debug)]
pub(crate) struct Args {
    pub(crate) admin: String,
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug)]
pub(crate) enum Command {
    Check {
        file: PathBuf,
    },
    Publish {
        file: PathBuf,
        base: Option<u64>,
        author: String,
    },
    SignOff {
        version: u64,
        digest: String,
        author: String,
    },
    Bundle,
    History,
    Hosts,
    Targets,
    Jobs,
    Cancel {
        job: String,
    },
    Drain {
        host: String,
    },
}

/// What the command line asks for.
pub(crate) enum Parsed {
    Run(Args),
    Print(String),
}

#[derive(Default)]
struct Words {
    admin: Option<String>,
    json: bool,
    base: Option<String>,
    author: Option<String>,
    digest: Option<String>,
    plain: Vec<String>,
}

/// Reads the command line.
pub(crate) fn parse() -> Result<Parsed, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut words = Words::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("admin") => words.admin = Some(parser.value()?.string()?),
            Long("json") => words.json = true,
            Long("base") => words.base = Some(parser.value()?.string()?),
            Long("author") => words.author = Some(parser.value()?.string()?),
            Long("digest") => words.digest = Some(parser.value()?.string()?),
            Long("help") => return Ok(Parsed::Print(HELP.into())),
            Long("version") => {
                let version = concat!("notchwharf ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Parsed::Print(version.into()));
            }
            Value(word) => words.plain.push(word.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    let command = words.command()?;
    let admin = words.admin.or_else(|| std::env::var(ADMIN_VARIABLE).ok());
    Ok(Parsed::Run(Args {
        admin: admin.unwrap_or_else(|| ADMIN_DEFAULT.into()),
        json: words.json,
        command,
    }))
}

impl Words {
    fn command(&self) -> Result<Command, lexopt::Error> {
        let plain: Vec<&str> = self.plain.iter().map(String::as_str).collect();
        Ok(match &plain[..] {
            ["check", file] => Command::Check { file: file.into() },
            ["publish", file] => Command::Publish {
                file: file.into(),
                base: self.base()?,
                author: needed(&self.author, "--author NAME")?,
            },
            ["sign-off", version] => Command::SignOff {
                version: number(version)?,
                digest: needed(&self.digest, "--digest DIGEST")?,
                author: needed(&self.author, "--author NAME")?,
            },
            ["bundle"] => Command::Bundle,
            ["history"] => Command::History,
            ["hosts"] => Command::Hosts,
            ["targets"] => Command::Targets,
            ["jobs"] => Command::Jobs,
            ["cancel", job] => Command::Cancel { job: name(job)? },
            ["drain", host] => Command::Drain { host: name(host)? },
            [] => return Err("a command is missing; see --help".into()),
            [word, ..] => return Err(format!("unknown command {word:?}; see --help").into()),
        })
    }

    fn base(&self) -> Result<Option<u64>, lexopt::Error> {
        match needed(&self.base, "--base VERSION|none")?.as_str() {
            "none" => Ok(None),
            text => number(text).map(Some),
        }
    }
}

fn needed(value: &Option<String>, what: &str) -> Result<String, lexopt::Error> {
    let missing = || format!("{what} is missing; see --help").into();
    value.clone().ok_or_else(missing)
}

fn number(text: &str) -> Result<u64, lexopt::Error> {
    let parsed = text.parse();
    parsed.map_err(|_| format!("{text:?} is no version; see `notchwharf history`").into())
}

fn name(text: &str) -> Result<String, lexopt::Error> {
    if notchwharf_config::bundle::is_name(text) {
        return Ok(text.to_owned());
    }
    Err(format!("{text:?} is no name of a host or job").into())
}
