//! A model engine's timing, without I/O: continuous batching with a cache.
//!
//! Every step gives each running stream one token. A step takes longer with
//! each stream and with each prompt token that is not in the cache. Requests
//! are admitted as they come, in order, as long as memory lasts.

use std::collections::VecDeque;
use std::time::Duration;

/// What identifies a stream.
pub type StreamId = u64;

/// An engine's speed and memory.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time of a step without streams.
    pub step_base: Duration,
    /// Time that each stream adds to a step.
    pub step_per_stream: Duration,
    /// Time that each prompt token adds that is not cached.
    pub prefill_per_token: Duration,
    /// Tokens that fit in memory, of running streams and cached prompts.
    pub memory_tokens: u32,
    /// Streams that a step can hold.
    pub streams_max: usize,
}

/// Defaults follow the size to design for: 2.2 million tokens a second from
/// 1,400 runners at 26 ms between tokens is 41 streams a runner.
impl Default for Config {
    fn default() -> Self {
        Self {
            step_base: Duration::from_millis(16),
            step_per_stream: Duration::from_micros(200),
            prefill_per_token: Duration::from_micros(40),
            memory_tokens: 120_000,
            streams_max: 256,
        }
    }
}

/// A request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// What identifies its stream.
    pub id: StreamId,
    /// Tokens to read before the first is generated.
    pub prompt_tokens: u32,
    /// A hash of the prompt, by which its tokens are found in the cache.
    pub prompt_hash: u64,
    /// Tokens to generate.
    pub tokens: u32,
    /// Tokens generated elsewhere or earlier.
    pub done_tokens: u32,
}

/// A token generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The stream.
    pub id: StreamId,
    /// The number of tokens before it.
    pub offset: u32,
    /// Whether it is the last.
    pub is_last: bool,
}

/// An engine's streams and cache.
#[derive(Clone, Debug)]
pub struct Model {
    cfg: Config,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    cache: VecDeque<(u64, u32)>,
}

impl Model {
    /// Returns an idle engine.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
        }
    }

    /// Returns the number of running streams.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Takes a request.
    pub fn submit(&mut self, req: Request) {
        self.waiting.push_back(req);
    }

    /// Ends a stream or takes a request out of the queue.
    pub fn cancel(&mut self, id: StreamId) {
        self.running.retain(|r| r.id != id);
        self.waiting.retain(|r| r.id != id);
    }

    /// Ends all streams and empties queue and cache.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cache.clear();
    }

    /// Admits what fits and returns how long the step takes that now begins.
    pub fn begin_step(&mut self) -> Duration {
        let mut fill_tokens = 0;
        while self.running.len() < self.cfg.streams_max {
            let Some(req) = self.waiting.front().copied() else {
                break;
            };
            if !self.running.is_empty() && self.used_tokens() + need(&req) > self.cfg.memory_tokens
            {
                break;
            }
            self.waiting.pop_front();
            fill_tokens += self.uncached(&req);
            self.running.push(req);
        }
        let streams = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.cfg.step_base
            + self.cfg.step_per_stream * streams
            + self.cfg.prefill_per_token * fill_tokens
    }

    /// Ends the step and returns the tokens that it generated.
    pub fn end_step(&mut self) -> Vec<Token> {
        let mut tokens = Vec::with_capacity(self.running.len());
        for req in &mut self.running {
            let offset = req.done_tokens;
            req.done_tokens += 1;
            tokens.push(Token {
                id: req.id,
                offset,
                is_last: req.done_tokens >= req.tokens,
            });
        }
        self.running.retain(|r| r.done_tokens < r.tokens);
        tokens
    }

    fn used_tokens(&self) -> u32 {
        self.running.iter().map(need).sum()
    }

    /// Returns the tokens to read, and keeps the prompt in the cache.
    fn uncached(&mut self, req: &Request) -> u32 {
        let found = self
            .cache
            .iter()
            .position(|(hash, _)| *hash == req.prompt_hash);
        if let Some(at) = found
            && let Some(entry) = self.cache.remove(at)
        {
            self.cache.push_back(entry);
            return 1 + req.done_tokens / 16;
        }
        self.cache.push_back((req.prompt_hash, req.prompt_tokens));
        let room = self.cfg.memory_tokens.saturating_sub(self.used_tokens());
        while self.cache.iter().map(|(_, len)| len).sum::<u32>() > room {
            self.cache.pop_front();
        }
        req.prompt_tokens + req.done_tokens
    }
}

fn need(req: &Request) -> u32 {
    req.prompt_tokens + req.tokens
}
