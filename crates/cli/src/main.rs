//! The command line for operators.
//!
//! Each command makes at most one call to the operator interface of a host, which may be any
//! host of the fleet.

mod args;
mod call;
mod show;

use std::process::ExitCode;

use notchwharf_config::bundle;
use serde_json::Value;
use serde_json::json;

use crate::args::Args;
use crate::args::Command;
use crate::args::Parsed;
use crate::call::CommandError;

/// The host refused the request, or the bundle in a file is invalid.
const EXIT_REFUSED: u8 = 1;
/// The command line is invalid, or a file cannot be read.
const EXIT_USAGE: u8 = 2;
/// No host could be reached; nothing was changed.
const EXIT_UNREACHABLE: u8 = 3;
/// The request was sent, but its outcome is unknown.
const EXIT_UNKNOWN: u8 = 4;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = match args::parse() {
        Ok(Parsed::Run(args)) => args,
        Ok(Parsed::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("notchwharf: {err}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&args).await {
        Ok(value) => {
            if args.json {
                println!("{value:#}");
            } else {
                print!("{}", show::render(&args.command, &value));
            }
            ExitCode::SUCCESS
        }
        Err(err) => {
            if let (true, CommandError::Refused(body)) = (args.json, &err) {
                println!("{body:#}");
            }
            eprintln!("notchwharf: {err}");
            ExitCode::from(exit_code(&err))
        }
    }
}

fn exit_code(err: &CommandError) -> u8 {
    match err {
        CommandError::File(_) => EXIT_USAGE,
        CommandError::Bundle(_) | CommandError::Refused(_) => EXIT_REFUSED,
        CommandError::Unreachable => EXIT_UNREACHABLE,
        CommandError::OutcomeUnknown => EXIT_UNKNOWN,
    }
}

async fn run(args: &Args) -> Result<Value, CommandError> {
    let admin = args.admin.trim_end_matches('/');
    let url = |path: &str| format!("{admin}/admin/v1/{path}");
    match &args.command {
        Command::Check { file } => {
            let bundle = load(file)?;
            Ok(json!({"valid": true, "digest": bundle.digest()}))
        }
        Command::Publish { file, base, author } => {
            let bundle = load(file)?;
            let body = json!({"base": base, "author": author, "bundle": bundle});
            call::post(&url("bundle"), &body).await
        }
        Command::SignOff {
            version,
            digest,
            author,
        } => {
            let body = json!({"version": version, "digest": digest, "author": author});
            call::post(&url("sign-off"), &body).await
        }
        Command::Bundle => call::get(&url("bundle")).await,
        Command::History => call::get(&url("history")).await,
        Command::Hosts => call::get(&url("hosts")).await,
        Command::Targets => call::get(&url("targets")).await,
        Command::Jobs => call::get(&url("jobs")).await,
        Command::Cancel { job } => {
            call::post(&url(&format!("jobs/{job}/cancel")), &json!({})).await
        }
        Command::Drain { host } => {
            call::post(&url(&format!("hosts/{host}/drain")), &json!({})).await
        }
    }
}

fn load(file: &std::path::Path) -> Result<bundle::Bundle, CommandError> {
    let text = std::fs::read(file).map_err(CommandError::File)?;
    bundle::parse(&text).map_err(CommandError::Bundle)
}
