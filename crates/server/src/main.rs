//! The server's command line.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use notchwharf_config::error;
use notchwharf_config::settings;
use notchwharf_config::settings::Settings;
use notchwharf_server::Server;
use slog::Drain as _;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
notchwharfd: serves online and batch inference as one of a fleet of hosts

Usage: notchwharfd --settings FILE [--check]

Options:
  --settings FILE  read settings, in JSON, from FILE
  --check          check the settings and exit
  --help           print this help
  --version        print the version

Signals: SIGTERM and SIGINT let the host finish what it has; a second one
stops it at once.

Exit codes: 0 after a clean end, 1 if the host could not start or was stopped
with work unfinished, 2 for a wrong command line or wrong settings.
";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

struct Args {
    settings: PathBuf,
    check: bool,
}

enum Parsed {
    Run(Args),
    Print(String),
}

fn parse() -> Result<Parsed, lexopt::Error> {
    use lexopt::prelude::Long;
    use lexopt::prelude::ValueExt as _;
    let mut parser = lexopt::Parser::from_env();
    let mut settings = None;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(parser.value()?.parse()?),
            Long("check") => check = true,
            Long("help") => return Ok(Parsed::Print(HELP.into())),
            Long("version") => {
                let version = concat!("notchwharfd ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Parsed::Print(version.into()));
            }
            _ => return Err(arg.unexpected()),
        }
    }
    let settings = settings.ok_or("--settings FILE is missing; see --help")?;
    Ok(Parsed::Run(Args { settings, check }))
}

fn main() -> ExitCode {
    let args = match parse() {
        Ok(Parsed::Run(args)) => args,
        Ok(Parsed::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(err) => {
            eprintln!("notchwharfd: {err}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(unusable) => {
            eprintln!("notchwharfd: {}: {unusable}", args.settings.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(err) => {
            eprintln!("notchwharfd: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Why there are no settings to run with.
#[derive(Debug)]
enum Unusable {
    Unread(std::io::Error),
    Wrong(error::Settings),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unread(err) => err.fmt(f),
            Self::Wrong(err) => err.fmt(f),
        }
    }
}

fn load(args: &Args) -> Result<Settings, Unusable> {
    let text = std::fs::read(&args.settings).map_err(Unusable::Unread)?;
    settings::parse(&text).map_err(Unusable::Wrong)
}

async fn run(settings: Settings) -> ExitCode {
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let (drain, _flush) = slog_async::Async::new(drain).build_with_guard();
    let host = settings.host.name.clone();
    let logger = slog::Logger::root(drain.fuse(), slog::o!("host" => host));
    let server = match Server::start(settings, logger).await {
        Ok(server) => server,
        Err(report) => {
            eprintln!("notchwharfd: {report:?}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let listed = serde_json::json!({
        "listed": server.listed(),
        "admin": server.addrs().admin,
    });
    println!("{listed}");
    let signals = signal(SignalKind::terminate()).and_then(|term| {
        let int = signal(SignalKind::interrupt())?;
        Ok((term, int))
    });
    let Ok((mut term, mut int)) = signals else {
        server.stop();
        return ExitCode::from(EXIT_FAILED);
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = server.told_to_leave() => {}
    }
    let clean = tokio::select! {
        clean = server.leave() => clean,
        _ = term.recv() => false,
        _ = int.recv() => false,
    };
    if clean {
        return ExitCode::SUCCESS;
    }
    ExitCode::from(EXIT_FAILED)
}
