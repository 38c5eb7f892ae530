//! Plays a load's file under policies and seeds.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::ValueExt as _;
use notchwharf_loadplay::load;
use notchwharf_loadplay::play;
use notchwharf_loadplay::policy::POLICIES;
use notchwharf_loadplay::policy::Policy;
use notchwharf_loadplay::report;
use notchwharf_loadplay::report::Row;

const USAGE: &str = "notchwharf-loadplay LOAD.json [--policy NAME,...] [--seeds N] [--out DIR]

Plays a load in virtual time over the product's decisions and prints what
callers get. Policies: product, no-turns, late-in-line, no-reserve (all by
default). With --out the figures are written as JSON, and the places in use of
each policy's first play as a plot.";

/// Exit code for a command line or a load that is wrong.
const WRONG_INPUT: u8 = 2;

struct Args {
    load: PathBuf,
    policies: Vec<Policy>,
    seeds: u64,
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = match args() {
        Ok(Some(args)) => args,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(err) => return wrong(&err.to_string()),
    };
    let load = match load::read(&args.load) {
        Ok(load) => load,
        Err(err) => return wrong(&err.to_string()),
    };
    match run(&args, &load) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("notchwharf-loadplay: {err}");
            ExitCode::FAILURE
        }
    }
}

fn wrong(message: &str) -> ExitCode {
    eprintln!("notchwharf-loadplay: {message}");
    ExitCode::from(WRONG_INPUT)
}

fn args() -> Result<Option<Args>, lexopt::Error> {
    use lexopt::Arg::Long;
    use lexopt::Arg::Short;
    use lexopt::Arg::Value;
    let mut load = None;
    let mut policies = POLICIES.to_vec();
    let mut seeds = 8;
    let mut out = None;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("help") | Short('h') => return Ok(None),
            Long("policy") => {
                let names = parser.value()?.string()?;
                policies = names.split(',').map(policy).collect::<Result<_, _>>()?;
            }
            Long("seeds") => seeds = parser.value()?.parse()?,
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Value(path) if load.is_none() => load = Some(PathBuf::from(path)),
            _ => return Err(arg.unexpected()),
        }
    }
    let load = load.ok_or("a load's file is missing; --help tells the usage")?;
    Ok(Some(Args {
        load,
        policies,
        seeds,
        out,
    }))
}

fn policy(name: &str) -> Result<Policy, lexopt::Error> {
    let known = POLICIES.into_iter().find(|policy| policy.name == name);
    known.ok_or_else(|| format!("there is no policy {name}").into())
}

fn run(args: &Args, load: &load::Load) -> Result<(), Box<dyn std::error::Error>> {
    let mut rows = Vec::new();
    for policy in &args.policies {
        let mut plays = Vec::new();
        for seed in 0..args.seeds {
            plays.push(play::play(load, *policy, seed));
            eprint!("\r{} {}/{} ", policy.name, seed + 1, args.seeds);
        }
        if let (Some(dir), Some(first)) = (&args.out, plays.first()) {
            std::fs::create_dir_all(dir)?;
            report::plot(&dir.join(format!("{}.svg", policy.name)), first)?;
        }
        rows.push(Row::new(policy.name, &plays, load.online.objective_ms));
    }
    eprintln!();
    print!("{}", report::table(&rows));
    if let Some(dir) = &args.out {
        std::fs::write(dir.join("plays.json"), serde_json::to_vec_pretty(&rows)?)?;
    }
    Ok(())
}
