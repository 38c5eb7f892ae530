//! Items of a job that was ended still reach runners more than `cancelMs` after the
//! acknowledgement, while more than half of the runners are down.

// Each program uses a part of these modules.
#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod http;
mod record;
#[allow(dead_code)]
mod runner;
mod store;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use record::Record;
use runner::Runner;
use store::Store;

const USAGE: &str = "usage: unasked PROGRAM RECORD DIR with-trouble|without-trouble";
const HOST: &str = "permits.example";
const PREFIX: &str = "/lots/";
const JOB: &str = "job1";
const ITEMS: usize = 120;
/// Events of an item, and the time of each in milliseconds.
const EVENTS: (u32, u32) = (40, 20);
const RUNNERS: usize = 6;
/// Runners that crash.
const CRASHED: usize = 4;
/// Time after the acknowledgement of its end at which no item of a job may reach a runner.
const CANCEL: Duration = Duration::from_millis(3_000);
const OBSERVED: Duration = Duration::from_secs(12);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn submission() -> String {
    let items = (0..ITEMS).map(|number| {
        // No two items are alike.
        let body = format!("{} {} {number}", EVENTS.0, EVENTS.1);
        let body = http::base64(body.as_bytes());
        format!(
            "{{\"id\":\"{JOB}-{number}\",\"path\":\"{PREFIX}work\",\"headers\":{{\"Model\":\"m\",\
             \"Token-Counts\":\"100,40\",\"Prompt-Prefix\":\"{number:x}:100\"}},\
             \"body\":\"{body}\",\"tokens\":140}}"
        )
    });
    let items: Vec<String> = items.collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"lots\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PREFIX}\",\"kind\":\"batch\",\"timeoutMs\":15000,\"goalMs\":400,\
         \"runTargetMs\":18000,\"retainS\":60,\"maxAttempts\":3,\"maxCount\":2000000,\
         \"service\":\"{SERVICE}\"}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/healthz\",\"maxConns\":250}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        SERVICE = runner::SERVICE
    )
}

fn run() -> Result<bool, String> {
    let mut args = env::args().skip(1).map(PathBuf::from);
    let (Some(program), Some(record_file), Some(dir)) = (args.next(), args.next(), args.next())
    else {
        return Err(USAGE.into());
    };
    let has_trouble = match env::args().nth(4).as_deref() {
        Some("with-trouble") => true,
        Some("without-trouble") => false,
        _ => return Err(USAGE.into()),
    };
    let record = Record::create(&record_file).map_err(|err| err.to_string())?;
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("keyed.op", "config", &config());
    let hosts = fleet::start(3, &program, &dir, &store, "");
    let hosts = hosts.map_err(|err| err.to_string())?;
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        return Err("the hosts did not become ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let runners = (0..RUNNERS).map(|number| {
        let zone = format!("zone-{}", number % hosts.len());
        Runner::start(&format!("i-{number}"), &zone, &store, &record)
    });
    let runners: Vec<Runner> = runners
        .collect::<Result<_, _>>()
        .map_err(|err| err.to_string())?;
    let registered = Instant::now();
    // All hosts know the runners by then.
    thread::sleep(Duration::from_millis(500));

    let owner = &hosts[0];
    record.note("submit", JOB, &format!("{ITEMS} items to {}", owner.name));
    let headers =
        format!("Host: {HOST}\r\nRequest-Id: {JOB}\r\nContent-Type: application/json\r\n");
    let path = format!("{PREFIX}{JOB}");
    let body = submission();
    let answer = http::call(
        owner.front,
        "POST",
        &path,
        &headers,
        body.as_bytes(),
        CALL_TIMEOUT,
    );
    let answer = answer.map_err(|err| err.to_string())?;
    record.note("answer", JOB, &answer.status.to_string());
    if answer.status != 202 {
        return Err("the job was not accepted".into());
    }
    // Right after the second heartbeats of the runners.
    let crash_at = registered + runner::HEARTBEAT + Duration::from_millis(50);
    thread::sleep(crash_at.saturating_duration_since(Instant::now()));
    if has_trouble {
        runners.iter().take(CRASHED).for_each(Runner::crash);
    }
    thread::sleep(Duration::from_millis(150));
    record.note("end", JOB, "");
    let headers = format!("Host: {HOST}\r\n");
    let path = format!("/api/lots/{JOB}");
    let answer = http::call(owner.front, "DELETE", &path, &headers, b"", CALL_TIMEOUT);
    let answer = answer.map_err(|err| err.to_string())?;
    let acknowledged = Instant::now();
    record.note("end answer", JOB, &answer.status.to_string());
    if answer.status != 200 {
        return Err("the end was not acknowledged".into());
    }
    thread::sleep(OBSERVED);

    let mut late = 0;
    for (at, item) in record.runs() {
        let after = at.saturating_duration_since(acknowledged);
        if after > CANCEL {
            late += 1;
            let detail = format!(
                "ran {:.3} s after the end was acknowledged",
                after.as_secs_f64()
            );
            record.note("BROKEN", &item, &detail);
        }
    }
    record.note("result", JOB, &format!("{late} runs too late"));
    Ok(late > 0)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => {
            println!("UNASKED: broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("UNASKED: held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("could not run: {err}");
            ExitCode::from(2)
        }
    }
}
