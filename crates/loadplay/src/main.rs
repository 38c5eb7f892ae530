//! Simulates a load under each given policy and seed.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::ValueExt as _;
use notchwharf_loadplay::load;
use notchwharf_loadplay::policy::POLICIES;
use notchwharf_loadplay::policy::Policy;
use notchwharf_loadplay::report;
use notchwharf_loadplay::report::Row;
use notchwharf_loadplay::simulation;

const USAGE: &str = "Usage: notchwharf-loadplay [OPTIONS] LOAD.json

Simulates a load against the routing decisions in virtual time and prints the
results that callers observe.

Options:
  --policy NAME,...  Policies to run: product, no-turns, late-in-line,
                     no-reserve (default: all)
  --seeds N          Number of runs per policy, with seeds from 0 (default: 8)
  --out DIR          Write the results to DIR/plays.json, and the slot usage
                     of each policy's first run to DIR/POLICY.svg
  -h, --help         Print this help";

/// Exit code for an invalid command line or load file.
const INVALID_INPUT: u8 = 2;

struct Args {
    load: PathBuf,
    policies: Vec<Policy>,
    seeds: u64,
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(Some(args)) => args,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(err) => return invalid_input(&err.to_string()),
    };
    let load = match load::read(&args.load) {
        Ok(load) => load,
        Err(err) => return invalid_input(&err.to_string()),
    };
    match run(&args, &load) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("notchwharf-loadplay: {err}");
            ExitCode::FAILURE
        }
    }
}

fn invalid_input(message: &str) -> ExitCode {
    eprintln!("notchwharf-loadplay: {message}");
    ExitCode::from(INVALID_INPUT)
}

fn parse_args() -> Result<Option<Args>, lexopt::Error> {
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
                policies = names
                    .split(',')
                    .map(parse_policy)
                    .collect::<Result<_, _>>()?;
            }
            Long("seeds") => seeds = parser.value()?.parse()?,
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Value(path) if load.is_none() => load = Some(PathBuf::from(path)),
            _ => return Err(arg.unexpected()),
        }
    }
    let load = load.ok_or("missing load file; see --help")?;
    Ok(Some(Args {
        load,
        policies,
        seeds,
        out,
    }))
}

fn parse_policy(name: &str) -> Result<Policy, lexopt::Error> {
    let known = POLICIES.into_iter().find(|policy| policy.name == name);
    known.ok_or_else(|| format!("unknown policy {name}").into())
}

fn run(args: &Args, load: &load::Load) -> Result<(), Box<dyn std::error::Error>> {
    let mut rows = Vec::new();
    for policy in &args.policies {
        let mut outcomes = Vec::new();
        for seed in 0..args.seeds {
            outcomes.push(simulation::run(load, *policy, seed));
            eprint!("\r{} {}/{} ", policy.name, seed + 1, args.seeds);
        }
        if let (Some(dir), Some(first)) = (&args.out, outcomes.first()) {
            std::fs::create_dir_all(dir)?;
            report::plot(&dir.join(format!("{}.svg", policy.name)), first)?;
        }
        rows.push(Row::new(policy.name, &outcomes, load.online.objective_ms));
    }
    eprintln!();
    print!("{}", report::table(&rows));
    if let Some(dir) = &args.out {
        std::fs::write(dir.join("plays.json"), serde_json::to_vec_pretty(&rows)?)?;
    }
    Ok(())
}
