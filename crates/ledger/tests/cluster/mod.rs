//! Simulated cluster: a log and hosts that run the owner's state machine.
//!
//! Time advances in ticks of ten milliseconds. In each tick every running host reads the log,
//! processes a tick and executes its effects; an append is subject to the next queued fault.
//! There are no sockets and no threads.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "Each test binary uses a part of the module."
)]

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use notchwharf_ledger::error::CommandError;
use notchwharf_ledger::job::Chunk;
use notchwharf_ledger::job::Manifest;
use notchwharf_ledger::job::Spec;
use notchwharf_ledger::owner::Command;
use notchwharf_ledger::owner::Config;
use notchwharf_ledger::owner::Effect;
use notchwharf_ledger::owner::Input;
use notchwharf_ledger::owner::Now;
use notchwharf_ledger::owner::Owner;
use notchwharf_ledger::owner::Reply;
use notchwharf_ledger::owner::Token;
use notchwharf_ledger::owner::Verdict;
use notchwharf_ledger::owner::Work;
use notchwharf_ledger::record::BlobId;
use notchwharf_ledger::record::Place;
use notchwharf_ledger::record::Record;
use notchwharf_ledger::shard::Shard;

pub const TICK_MS: u64 = 10;
pub const LEASE_MS: u64 = 1_000;
const APPEND_TIMEOUT_MS: u64 = 60;

/// A fault injected into an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault: the append takes effect and its response arrives.
    Delivered,
    /// The append has no effect and no response.
    RequestLost,
    /// The append takes effect, but its response is lost.
    ResponseLost,
    /// The append takes effect after this many milliseconds, and its response is lost.
    Delayed(u64),
    /// The append takes effect, and the host crashes before it receives the response.
    CrashAfter,
    /// The host crashes before it sends the append.
    CrashBefore,
    /// The append takes effect, and the host pauses for this many milliseconds.
    PauseAfter(u64),
    /// The host pauses for the first number of milliseconds, and the append takes effect after
    /// the second, when another host may hold the shard.
    PauseAndDelay(u64, u64),
}

pub struct Host {
    pub owner: Owner,
    pub is_alive: bool,
    pub paused_until_ms: u64,
    pub replies: Vec<(Token, Result<Reply, CommandError>)>,
    name: String,
    incarnation: u64,
    read_offset: usize,
    unconfirmed_at_ms: Option<u64>,
    saved_snapshots: Vec<(Vec<BlobId>, u64)>,
}

pub struct Cluster {
    pub now_ms: u64,
    pub log: Vec<Record>,
    pub log_down_until_ms: u64,
    pub hosts: Vec<Host>,
    pub faults: VecDeque<Fault>,
    /// Selects the appends to which the faults apply.
    pub fault_filter: fn(&Record) -> bool,
    pub snapshots: Vec<Vec<u8>>,
    delayed: Vec<(u64, Record)>,
    start: Instant,
    next_token: Token,
}

impl Cluster {
    pub fn new(hosts: usize) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            log: Vec::new(),
            log_down_until_ms: 0,
            hosts: Vec::new(),
            faults: VecDeque::new(),
            fault_filter: |_| true,
            snapshots: Vec::new(),
            delayed: Vec::new(),
            start: Instant::now(),
            next_token: 0,
        };
        for i in 0..hosts {
            let host = cluster.new_host(i, 1);
            cluster.hosts.push(host);
        }
        cluster
    }

    fn new_host(&self, index: usize, incarnation: u64) -> Host {
        let name = format!("a{index}");
        let cfg = Config {
            lease_duration: Duration::from_millis(LEASE_MS),
            renew_interval: Duration::from_millis(200),
            commit_interval: Duration::from_millis(TICK_MS),
            reply_timeout: Duration::from_millis(500),
            takeover_grace: Duration::from_millis(50),
            snapshot_records: 16,
            item_timeout: Duration::from_secs(5),
            ..Config::new(&name, incarnation)
        };
        Host {
            owner: Owner::new(cfg, self.now()),
            is_alive: true,
            paused_until_ms: 0,
            replies: Vec::new(),
            name,
            incarnation,
            read_offset: 0,
            unconfirmed_at_ms: None,
            saved_snapshots: Vec::new(),
        }
    }

    pub fn now(&self) -> Now {
        Now {
            at: self.start + Duration::from_millis(self.now_ms),
            unix_ms: self.now_ms,
        }
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].is_alive = false;
    }

    pub fn restart(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + 1;
        self.hosts[index] = self.new_host(index, incarnation);
    }

    pub fn holder(&self) -> Option<usize> {
        let is_holder = |h: &Host| h.is_alive && h.owner.held_epoch().is_some();
        let holders = self.hosts.iter().enumerate().filter(|(_, h)| is_holder(h));
        holders
            .max_by_key(|(_, h)| h.owner.held_epoch())
            .map(|(i, _)| i)
    }

    pub fn is_log_up(&self) -> bool {
        self.now_ms >= self.log_down_until_ms
    }

    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        if self.is_log_up() {
            let (due, still_delayed) = std::mem::take(&mut self.delayed)
                .into_iter()
                .partition::<Vec<_>, _>(|(at, _)| *at <= self.now_ms);
            self.delayed = still_delayed;
            self.log.extend(due.into_iter().map(|(_, record)| record));
        }
        // A paused host appears to have failed to the other hosts.
        let is_running = |h: &Host| h.is_alive && h.paused_until_ms <= self.now_ms;
        let preferred = self.hosts.iter().position(is_running);
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.is_alive && host.paused_until_ms <= self.now_ms {
                self.run_host(index, preferred == Some(index));
            }
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.tick();
        }
    }

    fn run_host(&mut self, index: usize, is_preferred: bool) {
        let mut inputs = vec![Input::Preferred(is_preferred)];
        let host = &mut self.hosts[index];
        if host.unconfirmed_at_ms.is_some_and(|at| at <= self.now_ms) {
            host.unconfirmed_at_ms = None;
            inputs.push(Input::AppendUnconfirmed);
        }
        for (parts, upto) in std::mem::take(&mut host.saved_snapshots) {
            inputs.push(Input::SnapshotSaved { parts, upto });
        }
        if self.now_ms >= self.log_down_until_ms {
            for offset in host.read_offset..self.log.len() {
                let record = self.log[offset].clone();
                let offset = offset as u64;
                inputs.push(Input::RecordRead { offset, record });
            }
            host.read_offset = self.log.len();
            inputs.push(Input::CaughtUp);
        }
        inputs.push(Input::Tick);
        for input in inputs {
            self.deliver(index, input);
        }
    }

    pub fn deliver(&mut self, index: usize, input: Input) {
        let now = self.now();
        let effects = self.hosts[index].owner.step(now, input);
        for effect in effects {
            self.execute(index, effect);
        }
    }

    fn execute(&mut self, index: usize, effect: Effect) {
        if !self.hosts[index].is_alive {
            return;
        }
        match effect {
            Effect::Append(record) => self.append(index, record),
            Effect::Reply { token, res } => self.hosts[index].replies.push((token, res)),
            Effect::SaveSnapshot { bytes, upto } => {
                let offset = self.snapshots.len() as u64;
                self.snapshots.push(bytes);
                let part = BlobId { stream: 0, offset };
                self.hosts[index].saved_snapshots.push((vec![part], upto));
            }
            Effect::RewriteBlobs { .. } => {}
        }
    }

    fn append(&mut self, index: usize, record: Record) {
        let fault = if !self.is_log_up() {
            Fault::RequestLost
        } else if (self.fault_filter)(&record) {
            self.faults.pop_front().unwrap_or(Fault::Delivered)
        } else {
            Fault::Delivered
        };
        let unconfirmed_at_ms = self.now_ms + APPEND_TIMEOUT_MS;
        let host = &mut self.hosts[index];
        match fault {
            Fault::Delivered => {}
            Fault::RequestLost | Fault::ResponseLost | Fault::Delayed(_) => {
                host.unconfirmed_at_ms = Some(unconfirmed_at_ms)
            }
            Fault::CrashAfter | Fault::CrashBefore => host.is_alive = false,
            Fault::PauseAfter(ms) => host.paused_until_ms = self.now_ms + ms,
            Fault::PauseAndDelay(pause_ms, _) => {
                host.paused_until_ms = self.now_ms + pause_ms;
                host.unconfirmed_at_ms = Some(unconfirmed_at_ms);
            }
        }
        match fault {
            Fault::RequestLost | Fault::CrashBefore => {}
            Fault::Delayed(ms) | Fault::PauseAndDelay(_, ms) => {
                self.delayed.push((self.now_ms + ms, record))
            }
            _ => self.log.push(record),
        }
    }

    /// Sends a command once to the host that holds the shard. If the host crashes before it
    /// replies, the outcome is unknown.
    pub fn send(&mut self, command: Command) -> Result<Reply, CommandError> {
        let Some(index) = self.holder() else {
            self.tick();
            return Err(CommandError::NotOwner { holder: None });
        };
        self.send_to(index, command)
    }

    pub fn send_to(&mut self, index: usize, command: Command) -> Result<Reply, CommandError> {
        let token = self.next_token;
        self.next_token += 1;
        self.deliver(index, Input::Command { token, command });
        for _ in 0..300 {
            let host = &mut self.hosts[index];
            let reply_index = host.replies.iter().position(|(t, _)| *t == token);
            if let Some(reply_index) = reply_index {
                return host.replies.remove(reply_index).1;
            }
            if !host.is_alive {
                return Err(CommandError::Unknown);
            }
            self.tick();
        }
        Err(CommandError::Unknown)
    }

    /// Sends a command repeatedly until the reply is final.
    pub fn send_until_final(&mut self, command: &Command) -> Result<Reply, CommandError> {
        for _ in 0..3_000 {
            let res = self.send(command.clone());
            match res {
                Ok(_) | Err(CommandError::Invalid(_)) => return res,
                Err(_) => self.tick(),
            }
        }
        panic!("There is no final reply to {command:?}.");
    }

    /// Returns the state folded from the complete log.
    pub fn fold_log(&self) -> Shard {
        let mut shard = Shard::default();
        for (offset, record) in self.log.iter().enumerate() {
            shard
                .apply(offset as u64, record)
                .expect("No record is missing.");
        }
        shard
    }

    /// Advances time and returns the names of the jobs folded from the complete log.
    pub fn jobs_after(&mut self, ms: u64) -> Vec<String> {
        self.run_for(ms);
        self.fold_log().jobs().keys().cloned().collect()
    }

    /// Ends all faults and runs for five lease times, so that the remaining hosts recover.
    pub fn recover(&mut self) {
        self.log_down_until_ms = 0;
        self.faults.clear();
        self.run_for(5 * LEASE_MS);
    }
}

pub fn spec(id: &str, items: u16) -> Spec {
    let blob = BlobId {
        stream: 1,
        offset: 7,
    };
    let chunk = Chunk {
        blob,
        first: 0,
        len: items,
    };
    Spec {
        id: id.into(),
        tenant: "school".into(),
        file: "file-1".into(),
        metadata: std::collections::BTreeMap::new(),
        created_unix_ms: 0,
        weight: 1,
        manifest: Manifest {
            serving: "hints".into(),
            endpoint: "/v1/chat/completions".into(),
            chunks: vec![chunk],
        },
    }
}

pub fn take_command(max: u32, host: &str) -> Command {
    Command::Take {
        serving: "hints".into(),
        max,
        host: host.into(),
        incarnation: 1,
    }
}

pub fn place(offset: u64) -> Place {
    Place {
        offset,
        stream: 2,
        index: 0,
    }
}

pub fn done_command(work: &Work, result_offset: u64) -> Command {
    Command::Settle {
        job: work.job.clone(),
        item: work.item,
        verdict: Verdict::Done(place(result_offset)),
    }
}
