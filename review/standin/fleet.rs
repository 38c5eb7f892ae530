//! The hosts under test: processes started by the command of the deploy file.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// Ports of a host, which are the same on all of them; each has an address of its own.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    metrics: u16,
    peer: u16,
}

fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 20 + number)
}

/// Returns a port that is free at all addresses, for TCP and UDP.
fn free_port(hosts: u8) -> io::Result<u16> {
    loop {
        let port = TcpListener::bind((ip(0), 0))?.local_addr()?.port();
        let is_free = |number| {
            TcpListener::bind((ip(number), port)).is_ok()
                && UdpSocket::bind((ip(number), port)).is_ok()
        };
        if (0..hosts).all(is_free) {
            return Ok(port);
        }
    }
}

/// Starts the hosts of a small deployment, one in each zone. `extra` is appended to the settings
/// that `deploy/settings.json` makes of them.
pub fn start(
    count: u8,
    program: &Path,
    dir: &Path,
    store: &Store,
    extra: &str,
) -> io::Result<Vec<Host>> {
    let ports = Ports {
        front: free_port(count)?,
        ready: free_port(count)?,
        control: free_port(count)?,
        metrics: free_port(count)?,
        peer: free_port(count)?,
    };
    let mut hosts = Vec::new();
    for number in 0..count {
        let zone = format!("zone-{number}");
        let name = format!("front-{zone}-1");
        let settings = dir.join(format!("{name}.json"));
        fs::write(
            &settings,
            settings_text(&name, &zone, number, count, ports, store, extra),
        )?;
        let log = dir.join(format!("{name}.log"));
        hosts.push(Host {
            front: (ip(number), ports.front).into(),
            ready: (ip(number), ports.ready).into(),
            process: spawn(program, &settings, &log)?,
            name,
            settings,
            log,
        });
    }
    Ok(hosts)
}

fn settings_text(
    name: &str,
    zone: &str,
    number: u8,
    count: u8,
    ports: Ports,
    store: &Store,
    extra: &str,
) -> String {
    let ip = ip(number);
    let seeds = (0..count.min(3)).map(|n| format!("\"{}:{}\"", self::ip(n), ports.control));
    let seeds: Vec<String> = seeds.collect();
    format!(
        r#"{{
  "host": {{
    "name": "{name}",
    "data_centre": "{zone}",
    "listen": "{ip}:{}",
    "ready_listen": "{ip}:{}",
    "peer_listen": "{ip}:{}",
    "metrics_listen": "{ip}:{}",
    "contact_listen": "{ip}:{}",
    "seeds": [{}]
  }},
  "store": {{
    "addr": "{}",
    "parts": 24,
    "record_bytes_max": 262144,
    "call_bytes_max": 2097152
  }},
  "access": {{"limits": {{"excess": 0.1}}}},
  "targets": {{"drain_ms": 2000, "settle_ms": 3000}}{extra}
}}
"#,
        ports.front,
        ports.ready,
        ports.peer,
        ports.metrics,
        ports.control,
        seeds.join(", "),
        store.addr
    )
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(program)
        .args(["--adapter", "platform", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Host {
    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self, program: &Path) -> io::Result<()> {
        self.process = spawn(program, &self.settings, &self.log)?;
        Ok(())
    }

    /// Waits until the host says that it is ready; returns whether it did.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let answer = http::call(
                self.ready,
                "GET",
                "/api/readyz",
                "Host: ready\r\n",
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
