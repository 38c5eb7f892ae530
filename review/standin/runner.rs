//! A runner: streams the events of an item, and keeps its entry in the store until it crashes.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::Store;

pub const SERVICE: &str = "permits";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after its last heartbeat at which the entry of a crashed runner is removed: three
/// intervals, and half of one until that is noticed.
const SILENCE: Duration = Duration::from_millis(4_200);
/// Interval at which a runner checks for a crash.
const CHECK: Duration = Duration::from_millis(2);
const SLOTS: u64 = 8;

#[derive(Clone)]
pub struct Runner {
    id: String,
    addr: SocketAddr,
    store: Store,
    record: Record,
    running: Arc<AtomicU64>,
    has_crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    pub fn start(id: &str, zone: &str, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let runner = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            running: Arc::default(),
            has_crashed: Arc::default(),
            connections: Arc::default(),
        };
        let zone = zone.to_owned();
        let heartbeats = runner.clone();
        thread::spawn(move || {
            for seq in 1.. {
                if heartbeats.has_crashed.load(Ordering::SeqCst) {
                    thread::sleep(SILENCE - HEARTBEAT);
                    heartbeats.store.put("keyed.servers", &heartbeats.id, "");
                    return;
                }
                heartbeats.write_entry(&zone, seq);
                thread::sleep(HEARTBEAT);
            }
        });
        let accepting = runner.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(runner)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.has_crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(CHECK);
                continue;
            };
            let (Ok(()), Ok(kept)) = (stream.set_nonblocking(false), stream.try_clone()) else {
                continue;
            };
            self.connections.lock().unwrap().push(kept);
            let runner = self.clone();
            thread::spawn(move || runner.serve(stream));
        }
    }

    /// Crashes for good: closes all connections and accepts no more.
    pub fn crash(&self) {
        self.record.note("crash", &self.id, "");
        self.has_crashed.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn write_entry(&self, zone: &str, seq: u64) {
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq}}}",
            self.addr
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(req) = http::read_request(&mut reader) {
            if self.respond(&mut writer, &req).is_err() {
                return;
            }
        }
    }

    fn respond(&self, writer: &mut TcpStream, req: &http::Request) -> io::Result<()> {
        let id = req.header("request-id").unwrap_or_default();
        let echo = format!("Request-Id: {id}\r\n");
        if req.header("expect-instance").is_some_and(|e| e != self.id) {
            return http::write_response(writer, "421 Misdirected Request", &echo, b"");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = format!("{echo}Not-Run: 1\r\n");
            return http::write_response(writer, "503 Service Unavailable", &headers, b"");
        }
        self.record.note("run", id, &format!("at {}", self.id));
        let sent = self.stream(writer, req, &echo);
        self.running.fetch_sub(1, Ordering::SeqCst);
        sent
    }

    /// Streams the events. The body of an item says how many there are and the time of each.
    fn stream(&self, writer: &mut TcpStream, req: &http::Request, echo: &str) -> io::Result<()> {
        let body = String::from_utf8_lossy(&req.body);
        let mut numbers = body.split(' ').map(|word| word.parse().unwrap_or(1));
        let count: u64 = numbers.next().unwrap_or(1);
        let interval = Duration::from_millis(numbers.next().unwrap_or(1));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Server-Stamp: {}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        let resumed = req.header("last-event-id").and_then(|n| n.parse().ok());
        for number in resumed.map_or(0, |last: u64| last + 1)..count {
            thread::sleep(interval);
            let event = format!("id: {number}\ndata: e{number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
