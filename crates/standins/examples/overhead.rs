//! Measures the overhead of a host: the time to first token and the total response
//! time through one host, compared with the same request sent directly to the
//! target, and the request rate that a host sustains on one core.
//!
//! Host, target and clients run on separate runtimes; that of the host has one
//! thread. A fixed number of requests is sent over loopback.
//!
//! ```sh
//! cargo run --release -p notchwharf-standins --example overhead
//! ```

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt as _;
use hdrhistogram::Histogram;
use hyper::Method;
use notchwharf_clients::hosts::Kind;
use notchwharf_clients::hosts::ListEntry;
use notchwharf_clients::http;
use notchwharf_clients::http::Client;
use notchwharf_clients::target::ModelVersion;
use notchwharf_config::settings;
use notchwharf_server::Server;
use notchwharf_standins::engine;
use notchwharf_standins::engine::Engine;
use notchwharf_standins::fleet::SCHOOL_KEY;
use notchwharf_standins::fleet::school_bundle;
use notchwharf_standins::model;
use notchwharf_standins::platform;
use notchwharf_standins::platform::Platform;
use serde_json::json;
use sse_stream::SseStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

const TOKENS: u32 = 8;
const ROUNDS: usize = 4;

fn runtime(threads: usize, name: &str) -> Runtime {
    let built = Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build();
    built.expect("A runtime is built.")
}

struct Times {
    first_us: Histogram<u64>,
    total_us: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("Three digits are within bounds.");
        Self {
            first_us: histogram(),
            total_us: histogram(),
        }
    }
}

/// Sends one streaming request; returns the times to its first event and its end.
async fn call(client: &Client, url: &str, body: &Bytes) -> Option<(Duration, Duration)> {
    let started = Instant::now();
    let url = format!("{url}/v1/chat/completions");
    let mut req = http::request(Method::POST, &url, body.clone()).ok()?;
    let auth = format!("Bearer {SCHOOL_KEY}");
    let auth = hyper::header::HeaderValue::from_str(&auth).ok()?;
    req.headers_mut().insert("authorization", auth);
    let id = format!("bench-{}", rand::random::<u64>());
    let id = hyper::header::HeaderValue::from_str(&id).ok()?;
    req.headers_mut().insert("x-request-id", id);
    let resp = client.send(req).await.ok()?;
    if !resp.status().is_success() {
        return None;
    }
    let mut events = SseStream::new(resp.into_body());
    let mut first = None;
    while let Some(event) = events.next().await {
        first.get_or_insert_with(|| started.elapsed());
        if event.ok()?.data.as_deref() == Some("[DONE]") {
            return Some((first?, started.elapsed()));
        }
    }
    None
}

async fn load(
    client: &Arc<Client>,
    url: &str,
    body: &Bytes,
    streams: usize,
    calls: usize,
    times: &mut Times,
) -> usize {
    let each = calls / streams;
    let tasks: Vec<_> = (0..streams)
        .map(|_| {
            let (client, url, body) = (Arc::clone(client), url.to_owned(), body.clone());
            tokio::spawn(async move {
                let mut results = Vec::with_capacity(each);
                for _ in 0..each {
                    results.push(call(&client, &url, &body).await);
                }
                results
            })
        })
        .collect();
    let mut failed = 0;
    for task in tasks {
        for result in task.await.unwrap_or_default() {
            let Some((first, total)) = result else {
                failed += 1;
                continue;
            };
            let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
            let _ = times.first_us.record(micros(first));
            let _ = times.total_us.record(micros(total));
        }
    }
    failed
}

fn body(model: &str, tokens: u32) -> Bytes {
    let body = json!({"model": model, "max_tokens": tokens, "stream": true,
        "messages": [{"role": "user", "content": "Which note follows C?"}]});
    body.to_string().into()
}

fn main() {
    let targets = runtime(2, "target");
    let host = runtime(1, "host");
    let callers = runtime(3, "caller");
    let model_version = ModelVersion {
        model: "tutor".into(),
        adapter: None,
        version: "1".into(),
    };
    let (platform, engine) = targets.block_on(async {
        let platform = Platform::start(platform::Config::default()).await;
        let engine = Engine::start(engine::Config {
            model: model::Config {
                step_base: Duration::from_millis(2),
                step_per_stream: Duration::ZERO,
                streams_max: 4_096,
                memory_tokens: 10_000_000,
                ..model::Config::default()
            },
            loaded: vec![model_version.clone()],
            ..engine::Config::default()
        });
        (
            platform.expect("The platform starts."),
            engine.await.expect("The engine starts."),
        )
    });
    platform.list(ListEntry {
        name: "t1".into(),
        data_centre: "dc1".into(),
        incarnation: 1,
        leaving: false,
        kind: Kind::Engine {
            url: engine.url(),
            checks_fencing: true,
        },
    });
    let text = json!({
        "host": {"name": "a1", "data_centre": "dc1"},
        "platform": {"log_url": platform.url(), "host_list_url": platform.url()},
        "batch": {"slots_max": 4_096},
        // The host itself is measured, so the objectives are too high for latency-based
        // concurrency limits to take effect.
        "online": {"first_token_objective_ms": 60_000, "inter_token_objective_ms": 60_000},
    });
    let settings = settings::parse(text.to_string().as_bytes()).expect("The settings are valid.");
    let server = host.block_on(Server::start(
        settings,
        slog::Logger::root(slog::Discard, slog::o!()),
    ));
    let server = server.expect("The host starts.");
    platform.list(server.listed());
    let url = format!("http://{}", server.addrs().listen);
    let admin = format!("http://{}", server.addrs().admin);
    callers.block_on(async {
        publish(&admin).await;
        let hosted_body = body("hints", TOKENS);
        let direct_body = body(&model_version.fingerprint(), TOKENS);
        while call(&Client::new(Duration::from_secs(1)), &url, &hosted_body).await.is_none() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let client = Arc::new(Client::new(Duration::from_secs(30)));
        println!("streams  metric       direct p50   direct p99     host p50     host p99  added p50  added p99 (us)");
        for (streams, calls) in [(1, 100), (32, 1_600), (256, 5_120)] {
            let (mut direct_times, mut hosted_times) = (Times::new(), Times::new());
            let mut failed = 0;
            // The warm-up round opens connections and is not measured.
            let mut warm_up = Times::new();
            failed += load(&client, &engine.url(), &direct_body, streams, streams, &mut warm_up).await;
            failed += load(&client, &url, &hosted_body, streams, streams, &mut warm_up).await;
            for _ in 0..ROUNDS {
                failed += load(&client, &engine.url(), &direct_body, streams, calls, &mut direct_times).await;
                failed += load(&client, &url, &hosted_body, streams, calls, &mut hosted_times).await;
            }
            row(streams, "first token", &direct_times.first_us, &hosted_times.first_us);
            row(streams, "total", &direct_times.total_us, &hosted_times.total_us);
            if failed > 0 {
                println!("{failed} requests failed");
            }
        }
        let short = body("hints", 1);
        let mut times = Times::new();
        let started = Instant::now();
        let calls = 40_000;
        let failed = load(&client, &url, &short, 128, calls, &mut times).await;
        let per_s = times.total_us.len() as f64 / started.elapsed().as_secs_f64();
        println!("one host on one thread: {per_s:.0} requests/s, {failed} failed");
    });
    std::process::exit(0);
}

fn row(streams: usize, metric: &str, direct: &Histogram<u64>, host: &Histogram<u64>) {
    let at = |h: &Histogram<u64>, q| h.value_at_quantile(q);
    let (d50, d99) = (at(direct, 0.5), at(direct, 0.99));
    let (h50, h99) = (at(host, 0.5), at(host, 0.99));
    let added = |h: u64, d: u64| i64::try_from(h).unwrap_or(0) - i64::try_from(d).unwrap_or(0);
    println!(
        "{streams:7}  {metric:11} {d50:11} {d99:12} {h50:12} {h99:12} {:10} {:10}",
        added(h50, d50),
        added(h99, d99)
    );
}

async fn publish(admin: &str) {
    let client = Client::new(Duration::from_secs(10));
    let proposal = json!({"base": null, "author": "ana", "bundle": school_bundle("1")});
    let proposed: serde_json::Value = client
        .post_json(&format!("{admin}/admin/v1/bundle"), &proposal)
        .await
        .expect("The bundle is proposed.");
    let sign_off =
        json!({"version": proposed["version"], "digest": proposed["digest"], "author": "rui"});
    let _: serde_json::Value = client
        .post_json(&format!("{admin}/admin/v1/sign-off"), &sign_off)
        .await
        .expect("The bundle is signed off.");
}
