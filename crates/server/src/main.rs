//! The command line of `notchwharfd`.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use notchwharf_config::error;
use notchwharf_config::gateway;
use notchwharf_config::settings;
use notchwharf_config::settings::Settings;
use notchwharf_server::Server;
use slog::Drain as _;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const HELP: &str = "\
Serves online and batch inference as one host of a fleet.

Usage: notchwharfd --settings FILE [--adapter NAME] [--check]

Options:
  --settings FILE  Read the settings from FILE, in JSON (required)
  --adapter NAME   Interface to serve: `own`, the product's own API, or
                   `platform`, the interface of the users' platform
                   [default: own]
  --check          Validate the settings and exit
  --help           Print this help and exit
  --version        Print the version and exit

Signals:
  SIGTERM, SIGINT  Finish outstanding work and exit; a second signal stops the
                   host immediately

Exit codes:
  0  The host finished its work and shut down, or --check found no error
  1  The host could not start, or it stopped with work unfinished
  2  The command line or the settings are invalid
";

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

struct Args {
    settings: PathBuf,
    adapter: Adapter,
    check: bool,
}

/// The interface that the host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Adapter {
    Own,
    Platform,
}

impl std::str::FromStr for Adapter {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "own" => Ok(Self::Own),
            "platform" => Ok(Self::Platform),
            _ => Err(format!("unknown adapter {name:?}; use `own` or `platform`")),
        }
    }
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
    let mut adapter = Adapter::Own;
    let mut check = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(parser.value()?.parse()?),
            Long("adapter") => adapter = parser.value()?.parse()?,
            Long("check") => check = true,
            Long("help") => return Ok(Parsed::Print(HELP.into())),
            Long("version") => {
                let version = concat!("notchwharfd ", env!("CARGO_PKG_VERSION"), "\n");
                return Ok(Parsed::Print(version.into()));
            }
            _ => return Err(arg.unexpected()),
        }
    }
    let settings = settings.ok_or("missing option --settings FILE; see --help")?;
    Ok(Parsed::Run(Args {
        settings,
        adapter,
        check,
    }))
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
    let loaded = match load(&args) {
        Ok(loaded) => loaded,
        Err(err) => {
            eprintln!("notchwharfd: {}: {err}", args.settings.display());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("{}: ok", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match start(loaded, &args) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("notchwharfd: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// The settings of a host, by adapter.
enum Loaded {
    Own(Settings),
    Platform(gateway::Settings),
}

/// Runs the host until it exits.
fn start(loaded: Loaded, args: &Args) -> std::io::Result<ExitCode> {
    let code = match loaded {
        Loaded::Own(settings) => {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            builder.enable_all().build()?.block_on(run(settings))
        }
        Loaded::Platform(settings) => {
            // Hosts of the platform have one core, and a single thread uses less memory.
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build()?;
            runtime.block_on(notchwharf_platform::run(settings, &args.settings))
        }
    };
    Ok(code)
}

/// Why the settings cannot be loaded.
#[derive(Debug)]
enum SettingsError {
    Unreadable(std::io::Error),
    Invalid(error::Settings),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(err) => err.fmt(f),
            Self::Invalid(err) => err.fmt(f),
        }
    }
}

fn load(args: &Args) -> Result<Loaded, SettingsError> {
    let text = std::fs::read(&args.settings).map_err(SettingsError::Unreadable)?;
    let loaded = match args.adapter {
        Adapter::Own => settings::parse(&text).map(Loaded::Own),
        Adapter::Platform => gateway::parse(&text).map(Loaded::Platform),
    };
    loaded.map_err(SettingsError::Invalid)
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
        () = server.leave_requested() => {}
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
