//! Jobs that were refused at each attempt run after a restart, once the jobs that filled the route's
//! limit have been deleted from the store.

// Each program uses a part of these modules.
#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod http;
mod record;
#[allow(dead_code)]
mod runner;
mod store;

use std::collections::BTreeMap;
use std::env;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use record::Record;
use runner::Runner;
use store::Store;

const USAGE: &str = "usage: refused PROGRAM RECORD DIR with-trouble|without-trouble";
const HOST: &str = "permits.example";
const PREFIX: &str = "/lots/";
/// Tokens that may wait on the route.
const TOKENS_MAX: u32 = 2_000;
/// Time for which results stay readable (`statusS`). It is 120 s in the users' deployments, with
/// which the test takes 260 s; `STATUS_S` sets it.
const STATUS_S: u64 = 12;
/// Time between the first jobs and the moment that parts their deletion from that of the burst.
const LEAD: Duration = Duration::from_secs(4);
/// Time from that moment to the burst.
const LAG: Duration = Duration::from_millis(2_500);
/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a client sends a refused job once more, as `Retry-After` says.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Jobs that are sent at the same moment.
const BURST: usize = 24;
/// Time for which the items may run after the restart.
const OBSERVED: Duration = Duration::from_secs(12);

#[derive(Clone)]
struct Job {
    id: String,
    tokens: u32,
    /// The number of events of its item, and the time of each in milliseconds.
    events: (u32, u32),
}

impl Job {
    fn item(&self) -> String {
        format!("{}-item", self.id)
    }

    fn body(&self) -> String {
        let item_body = format!("{} {}", self.events.0, self.events.1);
        format!(
            "{{\"items\":[{{\"id\":\"{}\",\"path\":\"{PREFIX}work\",\"headers\":{{\"Model\":\"m\",\
             \"Token-Counts\":\"100,{}\",\"Prompt-Prefix\":\"{}:100\"}},\"body\":\"{}\",\
             \"tokens\":{}}}]}}",
            self.item(),
            self.tokens - 100,
            http::base64(self.id.as_bytes())
                .to_lowercase()
                .replace(['=', '+', '/'], "0"),
            http::base64(item_body.as_bytes()),
            self.tokens
        )
    }
}

fn submit(addr: SocketAddr, job: &Job, record: &Record) -> u16 {
    let headers = format!(
        "Host: {HOST}\r\nRequest-Id: {}\r\nContent-Type: application/json\r\n",
        job.id
    );
    record.note(
        "submit",
        &job.id,
        &format!("{} tokens to {addr}", job.tokens),
    );
    let body = job.body();
    let path = format!("{PREFIX}{}", job.id);
    let answer = http::call(addr, "POST", &path, &headers, body.as_bytes(), CALL_TIMEOUT);
    let status = answer.map_or(0, |answer| answer.status);
    record.note("answer", &job.id, &status.to_string());
    status
}

/// Sends a job, and once more to another host if it was refused. Returns whether it was refused
/// both times.
fn submit_with_retry(addrs: [SocketAddr; 2], job: &Job, record: &Record) -> bool {
    let is_refused = |status| status == 429 || status == 503;
    if !is_refused(submit(addrs[0], job, record)) {
        return false;
    }
    thread::sleep(RETRY_AFTER);
    is_refused(submit(addrs[1], job, record))
}

/// Returns the results of a job as JSON.
fn results(addr: SocketAddr, id: &str) -> io::Result<String> {
    let path = format!("/api/lots/{id}?afterRev=0");
    let headers = format!("Host: {HOST}\r\n");
    let answer = http::call(addr, "GET", &path, &headers, b"", CALL_TIMEOUT)?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"lots\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PREFIX}\",\"kind\":\"batch\",\"timeoutMs\":15000,\"goalMs\":400,\
         \"runTargetMs\":18000,\"retainS\":60,\"maxAttempts\":3,\"maxCount\":{TOKENS_MAX},\
         \"service\":\"{SERVICE}\"}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"healthPath\":\"/healthz\",\"maxConns\":250}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        SERVICE = runner::SERVICE
    )
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
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
    let status_s = env::var("STATUS_S").ok().and_then(|text| text.parse().ok());
    let status = Duration::from_secs(status_s.unwrap_or(STATUS_S));
    let record = Record::create(&record_file).map_err(|err| err.to_string())?;
    let store = Store::start().map_err(|err| err.to_string())?;
    store.put("keyed.op", "config", &config());
    for number in 0..3 {
        let (id, zone) = (format!("i-{number}"), format!("zone-{number}"));
        Runner::start(&id, &zone, &store, &record).map_err(|err| err.to_string())?;
    }
    let extra = format!(
        ",\n  \"batch\": {{\"readable_ms\": {}}}",
        status.as_millis()
    );
    let started = Instant::now();
    let hosts = fleet::start(3, &program, &dir, &store, &extra);
    let mut hosts = hosts.map_err(|err| err.to_string())?;
    if !hosts
        .iter()
        .all(|host| host.wait_ready(Duration::from_secs(10)))
    {
        return Err("the hosts did not become ready".into());
    }
    // Half of the time for which results stay readable is also the interval of the cleanup: at its
    // fourth round it deletes what was submitted before `parting`.
    let parting = started + status / 2;
    sleep_until(parting - LEAD);

    // Jobs that fill most of the limit for some seconds.
    let first: Vec<Job> = (0..4)
        .map(|number| Job {
            id: format!("first{number}"),
            tokens: 400,
            events: (80, 100),
        })
        .collect();
    for (job, host) in first.iter().zip(hosts.iter().cycle()) {
        if submit(host.front, job, &record) != 202 {
            return Err("a job that fits was not accepted".into());
        }
    }
    sleep_until(parting + LAG);

    // Many at the same moment, of which one fits.
    let barrier = Arc::new(Barrier::new(BURST));
    let burst: Vec<_> = (0..BURST)
        .map(|number| {
            let job = Job {
                id: format!("burst{number:02}"),
                tokens: 300,
                events: (40, 100),
            };
            let addrs = [number, number + 1].map(|n| hosts[n % hosts.len()].front);
            let (barrier, record) = (Arc::clone(&barrier), record.clone());
            thread::spawn(move || {
                barrier.wait();
                let is_refused = submit_with_retry(addrs, &job, &record);
                (job, is_refused)
            })
        })
        .collect();
    let burst = burst
        .into_iter()
        .map(|sent| sent.join().map_err(|_| "a client failed"));
    let burst: Vec<(Job, bool)> = burst.collect::<Result<_, _>>()?;
    let refused = burst.iter().filter(|(_, is_refused)| *is_refused);
    let refused: Vec<&Job> = refused.map(|(job, _)| job).collect();
    if refused.is_empty() {
        return Err("no job was refused".into());
    }
    thread::sleep(Duration::from_secs(5));
    for job in &first {
        let listed = results(hosts[0].front, &job.id).map_err(|err| err.to_string())?;
        record.note(
            "results",
            &job.id,
            &listed.chars().take(90).collect::<String>(),
        );
        if !listed.contains("completed") {
            return Err("a job was not completed in time".into());
        }
    }

    sleep_until(started + status * 2 + Duration::from_secs(6));
    if has_trouble {
        record.note("kill", "all", "processes at once; they start again");
        for host in &mut hosts {
            host.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for host in &mut hosts {
            host.restart(&program).map_err(|err| err.to_string())?;
        }
        if !hosts
            .iter()
            .all(|host| host.wait_ready(Duration::from_secs(10)))
        {
            return Err("the hosts did not become ready again".into());
        }
    }
    thread::sleep(OBSERVED);

    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (_, item) in record.runs() {
        *runs.entry(item).or_default() += 1;
    }
    let mut is_broken = false;
    for job in refused {
        if let Some(count) = runs.get(&job.item()) {
            record.note(
                "BROKEN",
                &job.id,
                &format!("was refused at each attempt, and ran {count} times"),
            );
            is_broken = true;
        }
    }
    for host in &hosts {
        record.note("host", &host.name, "ends");
    }
    Ok(is_broken)
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => {
            println!("REFUSED: broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("REFUSED: held");
            ExitCode::SUCCESS
        }
        Err(err) => {
            println!("could not run: {err}");
            ExitCode::from(2)
        }
    }
}
