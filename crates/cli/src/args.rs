//! Parsing of the command line.

use std::path::PathBuf;

use lexopt::Arg::Long;
use lexopt::Arg::Value;
use lexopt::Parser;
use lexopt::ValueExt as _;

const HELP: &str = "\
Operates a notchwharf fleet.

Usage: notchwharf [--admin URL] [--json] COMMAND

Bundles:
  check FILE                            validate a bundle without publishing it
  publish FILE --base VERSION|none --author NAME
                                        propose a bundle that replaces a version
  sign-off VERSION --digest DIGEST --author NAME
                                        approve a proposal and make it current
  bundle                                show the current bundle
  history                               list proposals and sign-offs

Fleet:
  hosts                                 list hosts and the version each applies
  targets                               list targets and the models they hold
  drain HOST                            let a host finish its work and shut down

Jobs:
  jobs                                  list jobs
  cancel JOB                            cancel a job

Options:
  --admin URL  base URL of the operator interface of any host
               [env: NOTCHWHARF_ADMIN] [default: http://127.0.0.1:7701]
  --json       print the response as JSON
  --help       print this help
  --version    print the version

Example, publishing a bundle:
  notchwharf check next.json
  notchwharf publish next.json --base 41 --author ana
  notchwharf sign-off 57 --digest 9f0c... --author rui
  notchwharf hosts

Exit codes:
  0  success
  1  the host refused the request, or the bundle is invalid
  2  invalid command line, or unreadable file
  3  no host could be reached; nothing was changed
  4  the request was sent, but its outcome is unknown
";

const ADMIN_DEFAULT: &str = "http://127.0.0.1:7701";
const ADMIN_ENV_VAR: &str = "NOTCHWHARF_ADMIN";

/// A command with the global options.
#[derive(Debug)]
pub(crate) struct Args {
    pub(crate) admin: String,
    pub(crate) json: bool,
    pub(crate) command: Command,
}

/// A command.
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

/// The result of parsing the command line.
pub(crate) enum Parsed {
    Run(Args),
    Print(String),
}

#[derive(Default)]
struct RawArgs {
    admin: Option<String>,
    json: bool,
    base: Option<String>,
    author: Option<String>,
    digest: Option<String>,
    positional: Vec<String>,
}

/// Parses the command line.
pub(crate) fn parse() -> Result<Parsed, lexopt::Error> {
    let mut parser = Parser::from_env();
    let mut raw = RawArgs::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("admin") => raw.admin = Some(parser.value()?.string()?),
            Long("json") => raw.json = true,
            Long("base") => raw.base = Some(parser.value()?.string()?),
            Long("author") => raw.author = Some(parser.value()?.string()?),
            Long("digest") => raw.digest = Some(parser.value()?.string()?),
            Long("help") => return Ok(Parsed::Print(HELP.into())),
            Long("version") => {
                let version = concat!("notchwharf ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Parsed::Print(version.into()));
            }
            Value(value) => raw.positional.push(value.string()?),
            _ => return Err(arg.unexpected()),
        }
    }
    let command = raw.command()?;
    let admin = raw.admin.or_else(|| std::env::var(ADMIN_ENV_VAR).ok());
    Ok(Parsed::Run(Args {
        admin: admin.unwrap_or_else(|| ADMIN_DEFAULT.into()),
        json: raw.json,
        command,
    }))
}

impl RawArgs {
    fn command(&self) -> Result<Command, lexopt::Error> {
        let positional: Vec<&str> = self.positional.iter().map(String::as_str).collect();
        Ok(match &positional[..] {
            ["check", file] => Command::Check { file: file.into() },
            ["publish", file] => Command::Publish {
                file: file.into(),
                base: self.base()?,
                author: required(&self.author, "--author NAME")?,
            },
            ["sign-off", version] => Command::SignOff {
                version: parse_version(version)?,
                digest: required(&self.digest, "--digest DIGEST")?,
                author: required(&self.author, "--author NAME")?,
            },
            ["bundle"] => Command::Bundle,
            ["history"] => Command::History,
            ["hosts"] => Command::Hosts,
            ["targets"] => Command::Targets,
            ["jobs"] => Command::Jobs,
            ["cancel", job] => Command::Cancel {
                job: parse_name(job)?,
            },
            ["drain", host] => Command::Drain {
                host: parse_name(host)?,
            },
            [] => return Err("missing command; see --help".into()),
            [command, ..] => {
                return Err(format!(
                    "unknown command or wrong number of arguments: {command:?}; see --help"
                )
                .into());
            }
        })
    }

    fn base(&self) -> Result<Option<u64>, lexopt::Error> {
        match required(&self.base, "--base VERSION|none")?.as_str() {
            "none" => Ok(None),
            text => parse_version(text).map(Some),
        }
    }
}

fn required(value: &Option<String>, option: &str) -> Result<String, lexopt::Error> {
    let missing = || format!("missing {option}; see --help").into();
    value.clone().ok_or_else(missing)
}

fn parse_version(text: &str) -> Result<u64, lexopt::Error> {
    let parsed = text.parse();
    parsed.map_err(|_| format!("invalid version {text:?}; see `notchwharf history`").into())
}

fn parse_name(text: &str) -> Result<String, lexopt::Error> {
    if notchwharf_config::bundle::is_name(text) {
        return Ok(text.to_owned());
    }
    Err(format!("invalid host or job name {text:?}").into())
}
