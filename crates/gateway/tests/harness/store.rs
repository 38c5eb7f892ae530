//! An in-memory store whose failures are scripted by the test.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
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
/// Default number of keys in a page, so small that listings have several pages.
const PAGE_LEN: usize = 3;

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The append takes effect and is acknowledged.
    Done,
    /// The append takes effect and is acknowledged after a delay.
    Slow(Duration),
    /// The append is refused.
    Refused,
    /// The request is lost: no effect and an unknown outcome.
    RequestLost,
    /// The response is lost: the append takes effect with an unknown outcome.
    ResponseLost,
    /// The append takes effect after a delay with an unknown outcome.
    Delayed(Duration),
}

#[derive(Default)]
struct Partition {
    records: Vec<StoredRecord>,
    /// The first offset that is still in the history.
    first: u64,
}

struct State {
    partitions: HashMap<(Topic, u32), Partition>,
    page_len: usize,
    append_outcomes: HashMap<Topic, VecDeque<AppendOutcome>>,
    pages_read: HashMap<Topic, usize>,
    records_listed: HashMap<Topic, usize>,
    reads: HashMap<Topic, usize>,
    reads_to_fail: HashMap<Topic, usize>,
    read_delays: HashMap<Topic, Duration>,
    /// Entries that are written after the next page of a listing that has more pages.
    between_pages: HashMap<Topic, Entry>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            partitions: HashMap::new(),
            page_len: PAGE_LEN,
            append_outcomes: HashMap::new(),
            pages_read: HashMap::new(),
            records_listed: HashMap::new(),
            reads: HashMap::new(),
            reads_to_fail: HashMap::new(),
            read_delays: HashMap::new(),
            between_pages: HashMap::new(),
        }
    }
}

/// A connection to the store. The failures of listings and of the connection are its own; the
/// data and the outcomes of appends are shared.
#[derive(Clone, Default)]
pub struct ScriptedStore {
    state: Arc<Mutex<State>>,
    /// Whether every call over this connection is refused.
    is_closed: Arc<Mutex<bool>>,
    /// A topic whose listings over this connection are refused.
    refused_listing: Arc<Mutex<Option<Topic>>>,
    /// A topic to which appends over this connection are refused.
    refused_append: Arc<Mutex<Option<Topic>>>,
    /// A topic whose next listing over this connection times out, and after which delay.
    timed_out_listing: Arc<Mutex<Option<(Topic, Duration)>>>,
}

impl ScriptedStore {
    /// Returns another connection to the same store.
    pub fn connection(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            is_closed: Arc::default(),
            refused_listing: Arc::default(),
            refused_append: Arc::default(),
            timed_out_listing: Arc::default(),
        }
    }

    /// Makes the next listing of a topic over this connection time out after a delay.
    pub fn time_out_first_listing(&self, topic: Topic, delay: Duration) {
        *self.timed_out_listing.lock().unwrap() = Some((topic, delay));
    }

    /// Refuses all appends to a topic over this connection.
    pub fn refuse_appends(&self, topic: Topic) {
        *self.refused_append.lock().unwrap() = Some(topic);
    }

    /// Refuses all listings of a topic over this connection.
    pub fn refuse_listings(&self, topic: Topic) {
        *self.refused_listing.lock().unwrap() = Some(topic);
    }

    /// Sets whether every call over this connection is refused.
    pub fn set_closed(&self, is_closed: bool) {
        *self.is_closed.lock().unwrap() = is_closed;
    }

    /// Sets the outcomes of the next appends to a topic.
    pub fn script(&self, topic: Topic, outcomes: &[AppendOutcome]) {
        let mut state = self.state.lock().unwrap();
        state
            .append_outcomes
            .insert(topic, outcomes.iter().copied().collect());
    }

    /// Returns the number of appends to a topic whose outcomes were set and that have not come.
    pub fn scripted_count(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state.append_outcomes.get(&topic).map_or(0, VecDeque::len)
    }

    /// Removes the whole history, so that offsets written so far cannot be read; the newest
    /// record of each key can still be listed.
    pub fn expire_history(&self) {
        for partition in self.state.lock().unwrap().partitions.values_mut() {
            partition.first = partition.records.len() as u64;
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

    pub fn delete_target(&self, target: &str) {
        self.put(Topic::Targets, target, None);
    }

    /// Returns the number of records in the job log.
    pub fn job_record_count(&self) -> usize {
        let state = self.state.lock().unwrap();
        let partition = state.partitions.get(&(Topic::Jobs, 0));
        partition.map_or(0, |partition| partition.records.len())
    }

    /// Fails the waiting read of a topic, or else the next one.
    pub fn fail_next_read(&self, topic: Topic) {
        let mut state = self.state.lock().unwrap();
        *state.reads_to_fail.entry(topic).or_default() += 1;
    }

    /// Delays the answers to all reads of a topic.
    pub fn delay_reads(&self, topic: Topic, delay: Duration) {
        let mut state = self.state.lock().unwrap();
        state.read_delays.insert(topic, delay);
    }

    /// Writes a target once the next page of a listing that has more pages has been read.
    pub fn put_target_between_pages(&self, target: &str, text: &str) {
        let entry = Entry {
            key: target.to_owned(),
            value: Some(text.to_owned().into()),
        };
        let mut state = self.state.lock().unwrap();
        state.between_pages.insert(Topic::Targets, entry);
    }

    /// Returns the number of reads of a topic that were started.
    pub fn read_count(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state.reads.get(&topic).copied().unwrap_or_default()
    }

    /// Returns the number of pages of a topic that were read.
    pub fn pages_read(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state.pages_read.get(&topic).copied().unwrap_or_default()
    }

    /// Returns the number of records in all pages of a topic that were read.
    pub fn records_listed(&self, topic: Topic) -> usize {
        let state = self.state.lock().unwrap();
        state
            .records_listed
            .get(&topic)
            .copied()
            .unwrap_or_default()
    }

    /// Sets the number of keys in a page.
    pub fn set_page_len(&self, keys: usize) {
        self.state.lock().unwrap().page_len = keys;
    }

    /// Returns the number of keys of a topic that have a value, over all partitions.
    pub fn key_count(&self, topic: Topic) -> usize {
        self.keys(topic).len()
    }

    /// Returns the keys of a topic that have a value, over all partitions.
    pub fn keys(&self, topic: Topic) -> HashSet<String> {
        let state = self.state.lock().unwrap();
        let partitions = state.partitions.iter().filter(|((of, _), _)| *of == topic);
        let mut keys = HashSet::new();
        for record in partitions.flat_map(|(_, partition)| &partition.records) {
            match record.entry.value {
                Some(_) => keys.insert(record.entry.key.clone()),
                None => keys.remove(&record.entry.key),
            };
        }
        keys
    }

    /// Edits each value of a topic.
    pub fn edit_values(&self, topic: Topic, edit: impl Fn(&mut Vec<u8>)) {
        let mut state = self.state.lock().unwrap();
        let partitions = state.partitions.iter_mut();
        let of_topic = partitions.filter(|((of, _), _)| *of == topic);
        for record in of_topic.flat_map(|(_, partition)| &mut partition.records) {
            if let Some(value) = &mut record.entry.value {
                let mut bytes = value.to_vec();
                edit(&mut bytes);
                *value = bytes.into();
            }
        }
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
        let partition = state.partitions.entry((topic, part)).or_default();
        let first = partition.records.len() as u64;
        let stored = (first..).zip(entries);
        let stored = stored.map(|(offset, entry)| StoredRecord { offset, entry });
        partition.records.extend(stored);
        first
    }

    async fn append(
        &self,
        topic: Topic,
        part: u32,
        entries: Vec<Entry>,
    ) -> Result<u64, StoreError> {
        self.check_open()?;
        if *self.refused_append.lock().unwrap() == Some(topic) {
            return Err(StoreError::Refused("scripted"));
        }
        let outcome = {
            let mut state = self.state.lock().unwrap();
            let outcomes = state.append_outcomes.entry(topic).or_default();
            outcomes.pop_front().unwrap_or(AppendOutcome::Done)
        };
        let unknown = Err(StoreError::Unknown("scripted"));
        match outcome {
            AppendOutcome::Done => Ok(self.append_now(topic, part, entries)),
            AppendOutcome::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(self.append_now(topic, part, entries))
            }
            AppendOutcome::Refused => Err(StoreError::Refused("scripted")),
            AppendOutcome::RequestLost => unknown,
            AppendOutcome::ResponseLost => {
                self.append_now(topic, part, entries);
                unknown
            }
            AppendOutcome::Delayed(delay) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    store.append_now(topic, part, entries);
                });
                unknown
            }
        }
    }

    fn check_open(&self) -> Result<(), StoreError> {
        if *self.is_closed.lock().unwrap() {
            return Err(StoreError::Refused("closed"));
        }
        Ok(())
    }

    fn count_read(&self, topic: Topic) {
        let mut state = self.state.lock().unwrap();
        *state.reads.entry(topic).or_default() += 1;
    }

    fn check_read(&self, topic: Topic) -> Result<(), StoreError> {
        let mut state = self.state.lock().unwrap();
        let to_fail = state.reads_to_fail.entry(topic).or_default();
        if *to_fail == 0 {
            return Ok(());
        }
        *to_fail -= 1;
        Err(StoreError::Unknown("connection fell silent"))
    }

    fn read_delay(&self, topic: Topic) -> Duration {
        let state = self.state.lock().unwrap();
        state.read_delays.get(&topic).copied().unwrap_or_default()
    }

    async fn read(&self, read: Read) -> Result<Tail, StoreError> {
        let deadline = tokio::time::Instant::now() + read.wait;
        self.count_read(read.topic);
        loop {
            self.check_open()?;
            self.check_read(read.topic)?;
            let tail = self.tail(read)?;
            if !tail.records.is_empty() || tokio::time::Instant::now() >= deadline {
                tokio::time::sleep(self.read_delay(read.topic)).await;
                return Ok(tail);
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn tail(&self, read: Read) -> Result<Tail, StoreError> {
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((read.topic, read.part)).or_default();
        if read.from < partition.first {
            return Err(StoreError::Expired);
        }
        let from = usize::try_from(read.from).unwrap();
        Ok(Tail {
            end: partition.records.len() as u64,
            records: partition.records.get(from..).unwrap_or_default().to_vec(),
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
        self.check_open()?;
        if *self.refused_listing.lock().unwrap() == Some(topic) {
            return Err(StoreError::Refused("scripted"));
        }
        let mut state = self.state.lock().unwrap();
        *state.pages_read.entry(topic).or_default() += 1;
        let page_len = state.page_len;
        let partition = state.partitions.entry((topic, part)).or_default();
        let mut newest: BTreeMap<&str, &StoredRecord> = BTreeMap::new();
        for record in &partition.records {
            newest.insert(&record.entry.key, record);
        }
        let following = newest.into_values().filter(|r| {
            let is_after = after.is_none_or(|after| r.entry.key.as_str() > after);
            is_after && r.entry.value.is_some()
        });
        let mut records: Vec<StoredRecord> = following.take(page_len + 1).cloned().collect();
        let has_more = records.len() > page_len;
        records.truncate(page_len);
        let end = partition.records.len() as u64;
        *state.records_listed.entry(topic).or_default() += records.len();
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
