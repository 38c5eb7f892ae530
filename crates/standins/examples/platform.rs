//! Runs the platform stand-in as a process: log service, host list and weight store.
//!
//! ```sh
//! cargo run -p notchwharf-standins --example platform -- --listen 127.0.0.1:7700
//! ```
//!
//! Each line on standard input must be a listing, as a host prints it when it
//! starts, and is added to the host list. `PUT /v1/faults` sets the faults to inject.

use std::net::SocketAddr;

use lexopt::Arg::Long;
use lexopt::ValueExt as _;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_standins::platform::Config;
use notchwharf_standins::platform::Platform;
use serde::Deserialize;
use tokio::io::AsyncBufReadExt as _;
use tokio::io::BufReader;

#[derive(Deserialize)]
struct Listing {
    listed: ListEntry,
}

fn parse_args() -> Result<SocketAddr, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 7700));
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(listen)
}

#[tokio::main]
async fn main() -> Result<(), lexopt::Error> {
    let config = Config {
        listen: parse_args()?,
        ..Config::default()
    };
    let platform = Platform::start(config).await;
    let platform = platform.map_err(|err| err.to_string())?;
    println!("{}", platform.url());
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        match serde_json::from_str::<Listing>(&line) {
            Ok(line) => platform.list(line.listed),
            Err(err) => eprintln!("invalid listing: {err}"),
        }
    }
    std::future::pending::<()>().await;
    Ok(())
}
