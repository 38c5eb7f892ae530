//! Timing model of an engine, without I/O: continuous batching with a prompt cache.
//!
//! Every step generates one token for each running stream. Its duration grows with
//! the number of streams and of prompt tokens that are not cached. Requests are
//! admitted in order of arrival while memory is available.

use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a stream.
pub type StreamId = u64;

/// An engine's speed and memory.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Duration of a step without streams.
    pub step_base: Duration,
    /// Time that each running stream adds to a step.
    pub step_per_stream: Duration,
    /// Time that each uncached prompt token adds to the step that admits its request.
    pub prefill_per_token: Duration,
    /// Tokens of running streams and cached prompts that fit in memory.
    pub memory_tokens: u32,
    /// Maximum number of running streams.
    pub streams_max: usize,
}

/// Defaults follow the fleet size that the system is designed for: 1,400 engines
/// generate 2.2 million tokens per second at 26 ms between tokens, which is 41
/// streams per engine.
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
    /// Identifies its stream.
    pub id: StreamId,
    /// Prompt tokens to process before the first token is generated.
    pub prompt_tokens: u32,
    /// Hash of the prompt, the key in the cache.
    pub prompt_hash: u64,
    /// Tokens to generate in total.
    pub tokens: u32,
    /// Tokens that were already generated, here or elsewhere.
    pub done_tokens: u32,
}

/// A generated token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The stream.
    pub id: StreamId,
    /// The number of tokens before it in the stream.
    pub offset: u32,
    /// Whether it is the last of the stream.
    pub is_last: bool,
}

/// The state of an engine: its streams, queue and cache.
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

    /// Returns whether no stream runs and no request is queued.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Queues a request.
    pub fn submit(&mut self, req: Request) {
        self.waiting.push_back(req);
    }

    /// Ends a stream or removes a request from the queue.
    pub fn cancel(&mut self, id: StreamId) {
        self.running.retain(|r| r.id != id);
        self.waiting.retain(|r| r.id != id);
    }

    /// Ends all streams and clears queue and cache.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.cache.clear();
    }

    /// Begins a step: admits queued requests that fit and returns its duration.
    pub fn begin_step(&mut self) -> Duration {
        let mut prefill_tokens = 0;
        while self.running.len() < self.cfg.streams_max {
            let Some(req) = self.waiting.front().copied() else {
                break;
            };
            if !self.running.is_empty()
                && self.used_tokens() + reserved_tokens(&req) > self.cfg.memory_tokens
            {
                break;
            }
            self.waiting.pop_front();
            prefill_tokens += self.cache_prompt(&req);
            self.running.push(req);
        }
        let streams = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.cfg.step_base
            + self.cfg.step_per_stream * streams
            + self.cfg.prefill_per_token * prefill_tokens
    }

    /// Ends the current step and returns the tokens that it generated.
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
        self.running.iter().map(reserved_tokens).sum()
    }

    /// Adds the prompt to the cache and returns the number of tokens to process.
    fn cache_prompt(&mut self, req: &Request) -> u32 {
        let position = self
            .cache
            .iter()
            .position(|(hash, _)| *hash == req.prompt_hash);
        if let Some(index) = position
            && let Some(entry) = self.cache.remove(index)
        {
            self.cache.push_back(entry);
            return 1 + req.done_tokens / 16;
        }
        self.cache.push_back((req.prompt_hash, req.prompt_tokens));
        let available = self.cfg.memory_tokens.saturating_sub(self.used_tokens());
        while self.cache.iter().map(|(_, len)| len).sum::<u32>() > available {
            self.cache.pop_front();
        }
        req.prompt_tokens + req.done_tokens
    }
}

fn reserved_tokens(req: &Request) -> u32 {
    req.prompt_tokens + req.tokens
}
