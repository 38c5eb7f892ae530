//! A scripted log and hosts around the decisions of this package.
//!
//! Time goes in steps of ten milliseconds. In each step every host that is
//! alive reads what the log holds, ticks, and has its effects carried out; an
//! append meets the next fate in line. There is no socket and no thread.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "Each test binary uses a part of it."
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

pub const STEP_MS: u64 = 10;
pub const LEASE_MS: u64 = 1_000;
const APPEND_TIMEOUT_MS: u64 = 60;

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Taken,
    LostBefore,
    LostAfter,
    /// It takes effect late; its answer is given up before.
    Slow(u64),
    /// It takes effect, and the host dies before it can know.
    KilledAfter,
    /// The host dies with the append unsent.
    KilledBefore,
    /// It takes effect, and the host stops for so long.
    PausedAfter(u64),
    /// The host stops for the first time, and the append takes effect after
    /// the second, when another may hold the shard.
    PausedAndLate(u64, u64),
}

pub struct Host {
    pub owner: Owner,
    pub alive: bool,
    pub paused_until_ms: u64,
    pub replies: Vec<(Token, Result<Reply, CommandError>)>,
    name: String,
    incarnation: u64,
    read: usize,
    lost_at_ms: Option<u64>,
    saved: Vec<(Vec<BlobId>, u64)>,
}

pub struct World {
    pub now_ms: u64,
    pub log: Vec<Record>,
    pub log_down_until_ms: u64,
    pub hosts: Vec<Host>,
    pub fates: VecDeque<Fate>,
    /// Fates apply to appends that hold an entry for which this says so.
    pub applies: fn(&Record) -> bool,
    pub snapshots: Vec<Vec<u8>>,
    late: Vec<(u64, Record)>,
    base: Instant,
    next_token: Token,
}

impl World {
    pub fn new(hosts: usize) -> Self {
        let mut world = Self {
            now_ms: 0,
            log: Vec::new(),
            log_down_until_ms: 0,
            hosts: Vec::new(),
            fates: VecDeque::new(),
            applies: |_| true,
            snapshots: Vec::new(),
            late: Vec::new(),
            base: Instant::now(),
            next_token: 0,
        };
        for i in 0..hosts {
            let host = world.host(i, 1);
            world.hosts.push(host);
        }
        world
    }

    fn host(&self, index: usize, incarnation: u64) -> Host {
        let name = format!("a{index}");
        let cfg = Config {
            lease_duration: Duration::from_millis(LEASE_MS),
            renew_interval: Duration::from_millis(200),
            commit_interval: Duration::from_millis(STEP_MS),
            reply_timeout: Duration::from_millis(500),
            takeover_grace: Duration::from_millis(50),
            snapshot_records: 16,
            item_timeout: Duration::from_secs(5),
            ..Config::new(&name, incarnation)
        };
        Host {
            owner: Owner::new(cfg, self.now()),
            alive: true,
            paused_until_ms: 0,
            replies: Vec::new(),
            name,
            incarnation,
            read: 0,
            lost_at_ms: None,
            saved: Vec::new(),
        }
    }

    pub fn now(&self) -> Now {
        Now {
            at: self.base + Duration::from_millis(self.now_ms),
            unix_ms: self.now_ms,
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.hosts[index].alive = false;
    }

    pub fn restart(&mut self, index: usize) {
        let incarnation = self.hosts[index].incarnation + 1;
        self.hosts[index] = self.host(index, incarnation);
    }

    pub fn holder(&self) -> Option<usize> {
        let holds = |h: &Host| h.alive && h.owner.held_epoch().is_some();
        let held = self.hosts.iter().enumerate().filter(|(_, h)| holds(h));
        held.max_by_key(|(_, h)| h.owner.held_epoch())
            .map(|(i, _)| i)
    }

    pub fn log_is_up(&self) -> bool {
        self.now_ms >= self.log_down_until_ms
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.log_is_up() {
            let (due, late) = std::mem::take(&mut self.late)
                .into_iter()
                .partition::<Vec<_>, _>(|(at, _)| *at <= self.now_ms);
            self.late = late;
            self.log.extend(due.into_iter().map(|(_, record)| record));
        }
        // A host that is paused looks dead to the others.
        let running = |h: &Host| h.alive && h.paused_until_ms <= self.now_ms;
        let preferred = self.hosts.iter().position(running);
        for index in 0..self.hosts.len() {
            let host = &self.hosts[index];
            if host.alive && host.paused_until_ms <= self.now_ms {
                self.run(index, preferred == Some(index));
            }
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.step();
        }
    }

    fn run(&mut self, index: usize, preferred: bool) {
        let mut inputs = vec![Input::Preferred(preferred)];
        let host = &mut self.hosts[index];
        if host.lost_at_ms.is_some_and(|at| at <= self.now_ms) {
            host.lost_at_ms = None;
            inputs.push(Input::AppendUnconfirmed);
        }
        for (parts, upto) in std::mem::take(&mut host.saved) {
            inputs.push(Input::SnapshotSaved { parts, upto });
        }
        if self.now_ms >= self.log_down_until_ms {
            for offset in host.read..self.log.len() {
                let record = self.log[offset].clone();
                let offset = offset as u64;
                inputs.push(Input::RecordRead { offset, record });
            }
            host.read = self.log.len();
            inputs.push(Input::CaughtUp);
        }
        inputs.push(Input::Tick);
        for input in inputs {
            self.feed(index, input);
        }
    }

    pub fn feed(&mut self, index: usize, input: Input) {
        let now = self.now();
        let effects = self.hosts[index].owner.step(now, input);
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        if !self.hosts[index].alive {
            return;
        }
        match effect {
            Effect::Append(record) => self.append(index, record),
            Effect::Reply { token, res } => self.hosts[index].replies.push((token, res)),
            Effect::SaveSnapshot { bytes, upto } => {
                let offset = self.snapshots.len() as u64;
                self.snapshots.push(bytes);
                let part = BlobId { stream: 0, offset };
                self.hosts[index].saved.push((vec![part], upto));
            }
            Effect::RewriteBlobs { .. } => {}
        }
    }

    fn append(&mut self, index: usize, record: Record) {
        let fate = if !self.log_is_up() {
            Fate::LostBefore
        } else if (self.applies)(&record) {
            self.fates.pop_front().unwrap_or(Fate::Taken)
        } else {
            Fate::Taken
        };
        let lost_at_ms = self.now_ms + APPEND_TIMEOUT_MS;
        let host = &mut self.hosts[index];
        match fate {
            Fate::Taken => {}
            Fate::LostBefore | Fate::LostAfter | Fate::Slow(_) => {
                host.lost_at_ms = Some(lost_at_ms)
            }
            Fate::KilledAfter | Fate::KilledBefore => host.alive = false,
            Fate::PausedAfter(ms) => host.paused_until_ms = self.now_ms + ms,
            Fate::PausedAndLate(pause_ms, _) => {
                host.paused_until_ms = self.now_ms + pause_ms;
                host.lost_at_ms = Some(lost_at_ms);
            }
        }
        match fate {
            Fate::LostBefore | Fate::KilledBefore => {}
            Fate::Slow(ms) | Fate::PausedAndLate(_, ms) => {
                self.late.push((self.now_ms + ms, record))
            }
            _ => self.log.push(record),
        }
    }

    /// Asks whoever holds the shard, once. A host that dies with the question
    /// leaves the outcome unknown.
    pub fn ask(&mut self, command: Command) -> Result<Reply, CommandError> {
        let Some(index) = self.holder() else {
            self.step();
            return Err(CommandError::NotOwner { holder: None });
        };
        self.ask_host(index, command)
    }

    pub fn ask_host(&mut self, index: usize, command: Command) -> Result<Reply, CommandError> {
        let token = self.next_token;
        self.next_token += 1;
        self.feed(index, Input::Command { token, command });
        for _ in 0..300 {
            let host = &mut self.hosts[index];
            let found = host.replies.iter().position(|(t, _)| *t == token);
            if let Some(at) = found {
                return host.replies.remove(at).1;
            }
            if !host.alive {
                return Err(CommandError::Unknown);
            }
            self.step();
        }
        Err(CommandError::Unknown)
    }

    /// Asks again until there is a final answer.
    pub fn insist(&mut self, command: &Command) -> Result<Reply, CommandError> {
        for _ in 0..3_000 {
            let res = self.ask(command.clone());
            match res {
                Ok(_) | Err(CommandError::Invalid(_)) => return res,
                Err(_) => self.step(),
            }
        }
        panic!("There is no final answer to {command:?}.");
    }

    /// Returns the state that folding the whole log gives.
    pub fn folded(&self) -> Shard {
        let mut shard = Shard::default();
        for (offset, record) in self.log.iter().enumerate() {
            shard
                .apply(offset as u64, record)
                .expect("No record is missing.");
        }
        shard
    }

    /// Lets time pass and returns the jobs that folding the whole log gives.
    pub fn folded_after(&mut self, ms: u64) -> Vec<String> {
        self.run_for(ms);
        self.folded().jobs().keys().cloned().collect()
    }

    /// Ends all faults and lets everything come to rest.
    pub fn settle_down(&mut self) {
        self.log_down_until_ms = 0;
        self.fates.clear();
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

pub fn take(max: u32, host: &str) -> Command {
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

pub fn done(work: &Work, at: u64) -> Command {
    Command::Settle {
        job: work.job.clone(),
        item: work.item,
        verdict: Verdict::Done(place(at)),
    }
}
