//! Runs a target stand-in as a process: a model engine, or with `--service` a plain
//! service. It adds itself to the host list of the platform stand-in.
//!
//! ```sh
//! cargo run -p notchwharf-standins --example target -- \
//!     --name t1 --platform http://127.0.0.1:7700 [--service NAME] [--ignores-fencing]
//! ```

use lexopt::Arg::Long;
use lexopt::ValueExt as _;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_standins::engine;
use notchwharf_standins::engine::Engine;
use notchwharf_standins::listing;
use notchwharf_standins::service::Service;

struct Args {
    name: String,
    platform: String,
    service: Option<String>,
    checks_fencing: bool,
}

fn parse_args() -> Result<Args, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut args = Args {
        name: "t1".into(),
        platform: "http://127.0.0.1:7700".into(),
        service: None,
        checks_fencing: true,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("name") => args.name = parser.value()?.string()?,
            Long("platform") => args.platform = parser.value()?.string()?,
            Long("service") => args.service = Some(parser.value()?.string()?),
            Long("ignores-fencing") => args.checks_fencing = false,
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(args)
}

#[tokio::main]
async fn main() -> Result<(), lexopt::Error> {
    let args = parse_args()?;
    let to_arg_error = |err: std::io::Error| lexopt::Error::from(err.to_string());
    let (mut engine_handle, mut service_handle) = (None, None);
    let kind = match args.service {
        Some(service) => {
            let running = Service::start(([127, 0, 0, 1], 0).into()).await;
            let url = service_handle.insert(running.map_err(to_arg_error)?).url();
            Kind::Service { url, service }
        }
        None => {
            let running = Engine::start(engine::Config {
                checks_fencing: args.checks_fencing,
                weights_url: Some(args.platform.clone()),
                ..engine::Config::default()
            });
            let url = engine_handle
                .insert(running.await.map_err(to_arg_error)?)
                .url();
            Kind::Engine {
                url,
                checks_fencing: args.checks_fencing,
            }
        }
    };
    let listed = ListEntry {
        name: args.name,
        data_centre: "dc1".into(),
        incarnation: 1,
        leaving: false,
        kind,
    };
    listing::list(&args.platform, &listed)
        .await
        .map_err(to_arg_error)?;
    println!("{} is listed", listed.name);
    std::future::pending::<()>().await;
    Ok(())
}
