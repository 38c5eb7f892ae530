//! The platform's store, as far as the hosts call it: topics of ordered records, of which the
//! newest of each key is kept.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Keys per page of a listing.
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

type Partition = Vec<Vec<u8>>;

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<HashMap<(String, u64), Partition>>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record as the operator or a runner does; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, 0, vec![record]);
    }

    fn append(&self, topic: &str, part: u64, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let partition = state.entry((topic.to_owned(), part)).or_default();
        let offset = partition.len();
        partition.extend(records);
        let end = partition.len();
        changed.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(req) = http::read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let topic = req.param("topic").unwrap_or_default().to_owned();
            let part = req.number("part").unwrap_or(0);
            let (status, body) = match req.path.as_str() {
                "/api/log-append" if topic == "keyed.op" || topic == "keyed.servers" => {
                    ("403 Forbidden", Vec::new())
                }
                "/api/log-append" => {
                    let (offset, end) = self.append(&topic, part, split_records(&req.body));
                    let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                    ("200 OK", body.into_bytes())
                }
                "/api/log-read" => ("200 OK", self.read(&topic, part, &req)),
                "/api/log-newest" => ("200 OK", self.newest(&topic, part, req.param("afterRev"))),
                _ => ("404 Not Found", Vec::new()),
            };
            if http::write_response(&mut writer, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn read(&self, topic: &str, part: u64, req: &http::Request) -> Vec<u8> {
        let from = req.number("from").unwrap_or(0) as usize;
        let bytes_max = req.number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let deadline = Instant::now() + Duration::from_millis(req.number("waitMs").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let partition = state.entry((topic.to_owned(), part)).or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if partition.len() > from || left.is_zero() {
                let mut out = Vec::new();
                out.extend_from_slice(&(partition.len() as u64).to_be_bytes());
                out.extend_from_slice(&0u64.to_be_bytes());
                for record in partition.iter().skip(from) {
                    if out.len() > 16 && out.len() + record.len() > bytes_max {
                        break;
                    }
                    out.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    out.extend_from_slice(record);
                }
                return out;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, part: u64, after: Option<&str>) -> Vec<u8> {
        let mut state = self.state.0.lock().unwrap();
        let partition = state.entry((topic.to_owned(), part)).or_default();
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in partition.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key, (offset, value));
        }
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, (offset, value)) in newest {
            if value.is_empty() || after.is_some_and(|after| key <= after.as_bytes()) {
                continue;
            }
            if items.len() == PAGE_KEYS || (bytes > 0 && bytes + value.len() > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += value.len();
            // Keys are names of hosts, jobs and items here, which need no escaping.
            let key = String::from_utf8_lossy(key);
            let value = http::base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), partition.len());
        format!("{{\"items\":[{items}],\"truncated\":{truncated},\"end\":{end}}}").into_bytes()
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((len, rest)) = body.split_first_chunk::<4>() {
        let len = u32::from_be_bytes(*len) as usize;
        records.push(rest[..len].to_vec());
        body = &rest[len..];
    }
    records
}
