//! A store that does what the test says.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::FutureExt as _;
use notchwharf_gateway::ports::Entry;
use notchwharf_gateway::ports::Page;
use notchwharf_gateway::ports::Read;
use notchwharf_gateway::ports::Store;
use notchwharf_gateway::ports::StoreError;
use notchwharf_gateway::ports::StoredRecord;
use notchwharf_gateway::ports::Tail;
use notchwharf_gateway::ports::Topic;

use super::targets::addr_of;

pub const CONFIG_KEY: &str = "configuration";
/// Keys in one page, unless a test says otherwise; few, so that tests turn pages.
const PAGE: usize = 3;

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is done and answered.
    Done,
    /// It is refused.
    Refused,
    /// It is not done, and nobody says so.
    LostBefore,
    /// It is done, and nobody says so.
    LostAfter,
    /// It is done later, and nobody says so.
    Late(Duration),
}

#[derive(Default)]
struct Part {
    records: Vec<StoredRecord>,
    first: u64,
}

struct State {
    parts: HashMap<(Topic, u32), Part>,
    page: usize,
    fates: HashMap<Topic, VecDeque<Fate>>,
    listings: HashMap<Topic, usize>,
    listed: HashMap<Topic, usize>,
    readings: HashMap<Topic, usize>,
    broken: HashMap<Topic, usize>,
    between_pages: HashMap<Topic, Entry>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            parts: HashMap::new(),
            page: PAGE,
            fates: HashMap::new(),
            listings: HashMap::new(),
            listed: HashMap::new(),
            readings: HashMap::new(),
            broken: HashMap::new(),
            between_pages: HashMap::new(),
        }
    }
}

/// The store, or one door to it.
#[derive(Clone, Default)]
pub struct ScriptedStore {
    state: Arc<Mutex<State>>,
    /// Closed, it refuses every call that comes through it.
    is_closed: Arc<Mutex<bool>>,
    /// A topic that cannot be listed through it.
    unlisted: Arc<Mutex<Option<Topic>>>,
    /// A topic whose next listing through it times out, and the delay until it does.
    timed_out_listing: Arc<Mutex<Option<(Topic, Duration)>>>,
}

impl ScriptedStore {
    /// Returns another door to the same store.
    pub fn door(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            is_closed: Arc::default(),
            unlisted: Arc::default(),
            timed_out_listing: Arc::default(),
        }
    }

    /// Makes the first listing of a topic through this door time out after a delay.
    pub fn time_out_first_listing(&self, topic: Topic, delay: Duration) {
        *self.timed_out_listing.lock().unwrap() = Some((topic, delay));
    }

    /// Lets no listing of a topic through this door.
    pub fn refuse_listings(&self, topic: Topic) {
        *self.unlisted.lock().unwrap() = Some(topic);
    }

    pub fn close(&self, is_closed: bool) {
        *self.is_closed.lock().unwrap() = is_closed;
    }

    /// Sets what happens to the next appends to a topic.
    pub fn script(&self, topic: Topic, fates: &[Fate]) {
        let mut state = self.state.lock().unwrap();
        state.fates.insert(topic, fates.iter().copied().collect());
    }

    /// Drops all history; the newest record of each key stays.
    pub fn expire(&self) {
        for part in self.state.lock().unwrap().parts.values_mut() {
            part.first = part.records.len() as u64;
        }
    }

    pub fn put_config(&self, text: &str) {
        self.put(Topic::Config, CONFIG_KEY, Some(text));
    }

    /// Starts or ends the evacuation of a data centre.
    pub fn set_evacuated(&self, data_centre: &str, is_evacuated: bool) {
        let key = format!("evacuate/{data_centre}");
        self.put(Topic::Config, &key, is_evacuated.then_some("{}"));
    }

    pub fn put_target(&self, target: &str, text: &str) {
        let text = format!("{text} {}", addr_of(target));
        self.put(Topic::Targets, target, Some(&text));
    }

    pub fn drop_target(&self, target: &str) {
        self.put(Topic::Targets, target, None);
    }

    /// Returns the records of the job stream.
    pub fn job_records(&self) -> usize {
        let state = self.state.lock().unwrap();
        let part = state.parts.get(&(Topic::Jobs, 0));
        part.map_or(0, |part| part.records.len())
    }

    /// Breaks the next reading of a topic off, or the one that waits.
    pub fn break_reading(&self, topic: Topic) {
        let mut state = self.state.lock().unwrap();
        *state.broken.entry(topic).or_default() += 1;
    }

    /// Puts a target once the next page of a listing that has more was read.
    pub fn put_target_between_pages(&self, target: &str, text: &str) {
        let entry = Entry {
            key: target.to_owned(),
            value: Some(text.to_owned().into()),
        };
        let mut state = self.state.lock().unwrap();
        state.between_pages.insert(Topic::Targets, entry);
    }

    /// Returns how many readings of a topic were begun.
    pub fn readings(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state.readings.get(&topic).copied().unwrap_or_default()
    }

    /// Returns how often pages of a topic were read.
    pub fn listings(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state.listings.get(&topic).copied().unwrap_or_default()
    }

    /// Returns how many records of a topic all its pages held.
    pub fn listed(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state.listed.get(&topic).copied().unwrap_or_default()
    }

    /// Sets how many keys a page holds.
    pub fn set_page(&self, keys: usize) {
        self.state.lock().unwrap().page = keys;
    }

    /// Returns the keys of a topic that have a value, over all partitions.
    pub fn keys(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        let parts = state.parts.iter().filter(|((known, _), _)| *known == topic);
        let mut keys = std::collections::HashSet::new();
        for record in parts.flat_map(|(_, part)| &part.records) {
            match record.entry.value {
                Some(_) => keys.insert(&record.entry.key),
                None => keys.remove(&record.entry.key),
            };
        }
        keys.len()
    }

    fn put(&self, topic: Topic, key: &str, value: Option<&str>) {
        let entry = Entry {
            key: key.to_owned(),
            value: value.map(|v| v.to_owned().into()),
        };
        self.append_now(topic, 0, vec![entry]);
    }

    fn append_now(&self, topic: Topic, part: u32, entries: Vec<Entry>) -> u64 {
        let mut state = self.state.lock().unwrap();
        let part = state.parts.entry((topic, part)).or_default();
        let first = part.records.len() as u64;
        let stored = (first..).zip(entries);
        let stored = stored.map(|(offset, entry)| StoredRecord { offset, entry });
        part.records.extend(stored);
        first
    }

    async fn append(
        &self,
        topic: Topic,
        part: u32,
        entries: Vec<Entry>,
    ) -> Result<u64, StoreError> {
        self.is_open()?;
        let fate = {
            let mut state = self.state.lock().unwrap();
            let fates = state.fates.entry(topic).or_default();
            fates.pop_front().unwrap_or(Fate::Done)
        };
        let lost = Err(StoreError::Unknown("scripted"));
        match fate {
            Fate::Done => Ok(self.append_now(topic, part, entries)),
            Fate::Refused => Err(StoreError::Refused("scripted")),
            Fate::LostBefore => lost,
            Fate::LostAfter => {
                self.append_now(topic, part, entries);
                lost
            }
            Fate::Late(time) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(time).await;
                    store.append_now(topic, part, entries);
                });
                lost
            }
        }
    }

    fn is_open(&self) -> Result<(), StoreError> {
        if *self.is_closed.lock().unwrap() {
            return Err(StoreError::Refused("closed"));
        }
        Ok(())
    }

    fn count_reading(&self, topic: Topic) {
        let mut state = self.state.lock().unwrap();
        *state.readings.entry(topic).or_default() += 1;
    }

    fn is_whole(&self, topic: Topic) -> Result<(), StoreError> {
        let mut state = self.state.lock().unwrap();
        let broken = state.broken.entry(topic).or_default();
        if *broken == 0 {
            return Ok(());
        }
        *broken -= 1;
        Err(StoreError::Unknown("connection fell silent"))
    }

    async fn read(&self, read: Read) -> Result<Tail, StoreError> {
        let deadline = tokio::time::Instant::now() + read.wait;
        self.count_reading(read.topic);
        loop {
            self.is_open()?;
            self.is_whole(read.topic)?;
            let tail = self.tail(read)?;
            if !tail.records.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(tail);
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn tail(&self, read: Read) -> Result<Tail, StoreError> {
        let mut state = self.state.lock().unwrap();
        let part = state.parts.entry((read.topic, read.part)).or_default();
        if read.from < part.first {
            return Err(StoreError::Expired);
        }
        let from = usize::try_from(read.from).unwrap();
        Ok(Tail {
            end: part.records.len() as u64,
            records: part.records.get(from..).unwrap_or_default().to_vec(),
        })
    }

    async fn newest(
        &self,
        topic: Topic,
        part: u32,
        after: Option<&str>,
    ) -> Result<Page, StoreError> {
        let timed_out = {
            let mut listing = self.timed_out_listing.lock().unwrap();
            listing.take_if(|(listed, _)| *listed == topic)
        };
        if let Some((_, delay)) = timed_out {
            tokio::time::sleep(delay).await;
            return Err(StoreError::Unknown("timed out"));
        }
        let page = self.page(topic, part, after)?;
        let entry = page.has_more.then(|| {
            let mut state = self.state.lock().unwrap();
            state.between_pages.remove(&topic)
        });
        if let Some(entry) = entry.flatten() {
            self.append_now(topic, part, vec![entry]);
        }
        Ok(page)
    }

    fn page(&self, topic: Topic, part: u32, after: Option<&str>) -> Result<Page, StoreError> {
        self.is_open()?;
        if *self.unlisted.lock().unwrap() == Some(topic) {
            return Err(StoreError::Refused("scripted"));
        }
        let mut state = self.state.lock().unwrap();
        *state.listings.entry(topic).or_default() += 1;
        let most = state.page;
        let part = state.parts.entry((topic, part)).or_default();
        let mut newest: BTreeMap<&str, &StoredRecord> = BTreeMap::new();
        for record in &part.records {
            newest.insert(&record.entry.key, record);
        }
        let following = newest.into_values().filter(|r| {
            let is_behind = after.is_none_or(|after| r.entry.key.as_str() > after);
            is_behind && r.entry.value.is_some()
        });
        let mut records: Vec<StoredRecord> = following.take(most + 1).cloned().collect();
        let has_more = records.len() > most;
        records.truncate(most);
        let end = part.records.len() as u64;
        *state.listed.entry(topic).or_default() += records.len();
        Ok(Page {
            end,
            records,
            has_more,
        })
    }

    pub fn port(&self) -> Store {
        let (append, read, newest) = (self.clone(), self.clone(), self.clone());
        Store {
            append: Arc::new(move |topic, part, entries| {
                let store = append.clone();
                async move { store.append(topic, part, entries).await }.boxed()
            }),
            read: Arc::new(move |what| {
                let store = read.clone();
                async move { store.read(what).await }.boxed()
            }),
            newest: Arc::new(move |topic, part, after| {
                let store = newest.clone();
                async move { store.newest(topic, part, after.as_deref()).await }.boxed()
            }),
        }
    }
}
