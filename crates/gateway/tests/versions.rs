//! Targets of several software versions in one service: a stream, and the text of an item, has
//! events of only one of them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use harness::Harness;
use harness::RESUMABLE;
use harness::RunningHost;
use harness::request;
use harness::resumption;
use harness::targets::Action;
use harness::targets::full_response;
use harness::targets::item_text;
use harness::wait_until;
use notchwharf_gateway::context::Context;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::metrics::Counted;
use notchwharf_gateway::online;
use notchwharf_gateway::online::Resumption;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;

/// Number of streams per test: a host that ignores versions joins none of them with a
/// probability below one in a thousand.
const STREAMS: usize = 12;
/// Slots of each target.
const SLOTS: usize = 2;
/// Interval at which a test sends a request again.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Returns targets of two versions, as many of each.
fn mixed(of_each: usize) -> Harness {
    let harness = Harness::new(&[]);
    for number in 0..of_each {
        harness.store.put_target(&format!("v1-{number}"), "up#v1");
        harness.store.put_target(&format!("v2-{number}"), "up#v2");
    }
    harness
}

async fn start(harness: &Harness, names: &[&str], targets: usize) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for name in names {
        hosts.push(harness.start(name).await);
    }
    for host in &hosts {
        wait_until("the host knows all targets and hosts", || {
            let ctx = host.ctx();
            let is_ready = ctx.table().is_some() && ctx.targets_known() == targets;
            is_ready && ctx.peers_alive() == names.len() - 1
        })
        .await;
    }
    hosts
}

/// Returns the versions of the targets that ran a request, in order.
fn versions_of(harness: &Harness, request: &str) -> Vec<String> {
    let runs = harness.targets.runs(request);
    let versions = runs.iter().map(|(target, _)| target[..2].to_owned());
    versions.collect()
}

/// Begins a stream that is interrupted after an event, and returns its version.
async fn begin(harness: &Harness, host: &RunningHost, id: &str) -> String {
    harness.targets.script_request(id, &[Action::BreakAfter(2)]);
    let response = host.send(harness::NON_RETRIED, id).await.unwrap();
    assert!(response.body.is_none(), "{response:?}");
    versions_of(harness, id)[0].clone()
}

#[tokio::test]
async fn interrupted_stream_goes_on_in_one_response_only_at_its_version() {
    let harness = mixed(2);
    let hosts = start(&harness, &["a1"], 4).await;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        harness
            .targets
            .script_request(&id, &[Action::BreakAfter(2)]);
        let response = hosts[0].send(RESUMABLE, &id).await.unwrap();
        assert_eq!(response.text(), Some(full_response(&id)));
        let versions = versions_of(&harness, &id);
        assert_eq!(versions[0], versions[1], "{id}");
    }
}

#[tokio::test]
async fn interrupted_stream_ends_if_no_target_of_its_version_is_left() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    harness
        .targets
        .script_request("r1", &[Action::BreakAfter(2)]);
    let response = hosts[0].send(RESUMABLE, "r1").await.unwrap();
    assert!(response.body.is_none(), "{response:?}");
    assert_eq!(harness.targets.runs("r1").len(), 1);
}

#[rstest]
#[case::at_its_host(0)]
#[case::at_another_host(1)]
#[tokio::test]
async fn stream_that_its_caller_resumes_goes_on_only_at_its_version(#[case] resumed_at: usize) {
    let harness = mixed(2);
    let hosts = start(&harness, &["a1", "a2"], 4).await;
    for number in 0..STREAMS {
        let (id, next) = (format!("r{number}"), format!("n{number}"));
        let version = begin(&harness, &hosts[0], &id).await;
        let resumed = hosts[resumed_at].resume(harness::NON_RETRIED, &next, &id, 1);
        assert!(resumed.await.unwrap().body.is_some(), "{next}");
        assert_eq!(versions_of(&harness, &next), [version], "{next}");
    }
}

#[tokio::test]
async fn stream_goes_on_at_its_version_after_the_host_that_began_it_was_lost() {
    let harness = mixed(2);
    let mut hosts = start(&harness, &["a1", "a2", "a3", "a4"], 4).await;
    let mut began = Vec::new();
    for number in 0..STREAMS {
        let id = format!("r{number}");
        began.push((begin(&harness, &hosts[0], &id).await, id));
    }
    hosts.remove(0).kill();
    for (number, (version, id)) in began.iter().enumerate() {
        let next = format!("n{number}");
        let host = &hosts[number % hosts.len()];
        let resumed = host.resume(harness::NON_RETRIED, &next, id, 1);
        assert!(resumed.await.unwrap().body.is_some(), "{next}");
        assert_eq!(versions_of(&harness, &next), [version.as_str()], "{next}");
    }
}

#[tokio::test]
async fn host_that_started_later_resumes_a_stream_at_its_version() {
    let harness = mixed(2);
    let hosts = start(&harness, &["a1", "a2"], 4).await;
    let mut began = Vec::new();
    for number in 0..STREAMS {
        let id = format!("r{number}");
        began.push((begin(&harness, &hosts[0], &id).await, id));
    }
    let newest = harness.start_ready("a3").await;
    for (number, (version, id)) in began.iter().enumerate() {
        let next = format!("n{number}");
        let resumed = newest.resume(harness::NON_RETRIED, &next, id, 1);
        assert!(resumed.await.unwrap().body.is_some(), "{next}");
        assert_eq!(versions_of(&harness, &next), [version.as_str()], "{next}");
    }
}

/// The only copy was lost with its holder, which has started again since.
#[tokio::test]
async fn origin_of_a_running_stream_is_sent_to_a_host_that_starts() {
    let harness = mixed(1);
    let mut hosts = start(&harness, &["a1", "a2"], 2).await;
    harness.targets.hold();
    let (ctx, req) = (
        Arc::clone(hosts[0].ctx()),
        harness::request(RESUMABLE, "r1"),
    );
    let stream = online::serve(&ctx, req, Instant::now()).await.unwrap();
    let version = versions_of(&harness, "r1").remove(0);
    hosts.remove(1).kill();
    wait_until("the loss is detected", || hosts[0].ctx().peers_alive() == 0).await;
    let restarted = harness.start_ready("a2").await;
    let sent = |ctx: &Context| ctx.metrics.counted(Counted::StreamOrigins, "received");
    wait_until("the copy is sent again", || sent(restarted.ctx()) == 1).await;
    hosts.remove(0).kill();
    drop(stream);
    harness.targets.release();
    let resumed = restarted.resume(RESUMABLE, "n1", "r1", 1).await.unwrap();
    assert!(resumed.body.is_some());
    assert_eq!(versions_of(&harness, "n1"), [version]);
}

#[tokio::test]
async fn third_attempt_names_the_one_that_began_the_stream() {
    let harness = mixed(2);
    let hosts = start(&harness, &["a1", "a2"], 4).await;
    let version = begin(&harness, &hosts[0], "r1").await;
    harness
        .targets
        .script_request("r2", &[Action::BreakAfter(1)]);
    let second = hosts[1].resume(harness::NON_RETRIED, "r2", "r1", 1).await;
    assert!(second.unwrap().body.is_none());
    let third = hosts[0].resume(harness::NON_RETRIED, "r3", "r1", 2).await;
    assert!(third.unwrap().body.is_some());
    for id in ["r2", "r3"] {
        assert_eq!(versions_of(&harness, id), [version.as_str()], "{id}");
    }
}

#[tokio::test]
async fn stream_that_no_host_knows_is_refused_for_good() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1", "a2"], 2).await;
    let is_fleet_known = || {
        let ctx = hosts[0].ctx();
        ctx.metrics.counted(Counted::Resumptions, "unknown stream") > 0
    };
    let started = Instant::now();
    // While the hosts don't know whether there are others, a retry may succeed.
    while !is_fleet_known() {
        let err = hosts[0].resume(RESUMABLE, "n1", "r1", 1).await.unwrap_err();
        assert!(matches!(err, Failure::NotResumable { .. }), "{err:?}");
        assert!(started.elapsed() < harness::WAIT_MAX);
    }
    let err = hosts[0].resume(RESUMABLE, "n1", "r1", 1).await.unwrap_err();
    let expected = Failure::NotResumable {
        reason: "unknown stream",
        retry_after: None,
    };
    assert_eq!(err, expected);
    assert_eq!(harness.targets.runs("n1"), []);
}

#[rstest]
#[case::one_version(&["v1"], true)]
#[case::two_versions(&["v1", "v2"], false)]
#[case::one_that_is_not_known(&["unknown"], false)]
#[case::one_beside_one_that_is_not_known(&["v1", "unknown"], false)]
#[tokio::test]
async fn stream_that_its_caller_does_not_name_goes_on_if_one_version_serves_alone(
    #[case] versions: &[&str],
    #[case] is_resumed: bool,
) {
    let harness = Harness::new(&[]);
    for version in versions {
        harness.store.put_target(version, &format!("up#{version}"));
    }
    let hosts = start(&harness, &["a1"], versions.len()).await;
    let mut req = request(RESUMABLE, "n1");
    req.resumption = Some(Resumption::Unnamed {
        last_event: Some(1),
    });
    let resumed = hosts[0].send_request(req).await;
    assert_eq!(resumed.is_ok(), is_resumed, "{resumed:?}");
    assert_eq!(harness.targets.runs("n1").len(), usize::from(is_resumed));
}

#[tokio::test]
async fn unnamed_stream_is_refused_after_a_version_has_gone() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    harness.store.delete_target("v1-0");
    wait_until("the target is gone", || hosts[0].ctx().targets_known() == 1).await;
    let mut req = request(RESUMABLE, "n1");
    req.resumption = Some(Resumption::Unnamed { last_event: None });
    let err = hosts[0].send_request(req).await.unwrap_err();
    assert!(matches!(err, Failure::NotResumable { .. }), "{err:?}");
}

/// Begins a stream at a target of v1, loses all hosts, changes targets, and starts a host again.
async fn restart_all_hosts(
    harness: &Harness,
    change: impl FnOnce(&Harness),
    hosts: usize,
) -> RunningHost {
    harness.store.put_target("t1", "up#v1");
    let names: Vec<String> = (0..hosts).map(|number| format!("a{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let running = start(harness, &names, 1).await;
    harness
        .targets
        .script_request("r1", &[Action::BreakAfter(2)]);
    let response = running[0].send(harness::NON_RETRIED, "r1").await.unwrap();
    assert!(response.body.is_none());
    wait_until("the version is recorded", || {
        harness.store.key_count(Topic::Versions) == 1
    })
    .await;
    running.into_iter().for_each(RunningHost::kill);
    change(harness);
    let restarted = harness.start_ready("a0").await;
    wait_until("a target is known", || restarted.ctx().targets_known() > 0).await;
    restarted
}

fn unnamed(id: &str) -> online::Request {
    let mut req = request(RESUMABLE, id);
    req.resumption = Some(Resumption::Unnamed {
        last_event: Some(1),
    });
    req
}

fn replace_target(harness: &Harness) {
    harness.store.delete_target("t1");
    harness.store.put_target("t2", "up#v2");
}

#[rstest]
#[case::its_version_serves_on(|_: &Harness| {}, true)]
#[case::another_target_of_its_version_serves(|harness: &Harness| {
    harness.store.delete_target("t1");
    harness.store.put_target("t2", "up#v1");
}, true)]
#[case::its_target_was_replaced(replace_target, false)]
#[case::its_target_was_upgraded_in_place(|harness: &Harness| {
    harness.store.put_target("t1", "up#v2");
}, false)]
#[case::two_versions_serve(|harness: &Harness| harness.store.put_target("t2", "up#v2"), false)]
#[tokio::test]
async fn an_unnamed_stream_goes_on_after_all_hosts_were_lost_only_at_its_version(
    #[case] change: fn(&Harness),
    #[case] is_resumed: bool,
    #[values(1, 3)] hosts: usize,
) {
    let harness = Harness::new(&[]);
    let restarted = restart_all_hosts(&harness, change, hosts).await;
    let resumed = restarted.send_request(unnamed("n1")).await;
    assert_eq!(resumed.is_ok(), is_resumed, "{resumed:?}");
    assert_eq!(harness.targets.runs("n1").len(), usize::from(is_resumed));
}

#[tokio::test]
async fn a_named_stream_is_refused_after_all_hosts_were_lost_between_two_versions() {
    let harness = Harness::new(&[]);
    let restarted = restart_all_hosts(&harness, replace_target, 1).await;
    let resumed = restarted.resume(RESUMABLE, "n1", "r1", 1).await;
    assert!(resumed.is_err(), "{resumed:?}");
    assert_eq!(harness.targets.runs("n1"), []);
}

#[tokio::test]
async fn an_unnamed_stream_is_refused_after_two_restarts_between_two_versions() {
    let harness = Harness::new(&[]);
    let restarted = restart_all_hosts(&harness, replace_target, 1).await;
    wait_until("both versions are recorded", || {
        harness.store.key_count(Topic::Versions) == 2
    })
    .await;
    restarted.kill();
    let restarted = harness.start_ready("a0").await;
    wait_until("a target is known", || restarted.ctx().targets_known() > 0).await;
    let resumed = restarted.send_request(unnamed("n1")).await;
    assert!(resumed.is_err(), "{resumed:?}");
}

#[tokio::test]
async fn an_unnamed_stream_is_refused_by_a_host_that_restarts_after_its_version_has_gone() {
    let harness = Harness::new(&[]);
    harness.store.put_target("t1", "up#v1");
    let mut hosts = start(&harness, &["a1", "a2"], 1).await;
    wait_until("the version is recorded", || {
        harness.store.key_count(Topic::Versions) == 1
    })
    .await;
    hosts.remove(1).kill();
    replace_target(&harness);
    wait_until("the target is replaced", || {
        hosts[0].ctx().is_target_known("t2")
    })
    .await;
    let restarted = harness.start_ready("a2").await;
    wait_until("a target is known", || restarted.ctx().targets_known() > 0).await;
    for host in [&restarted, &hosts[0]] {
        let resumed = host.send_request(unnamed("n1")).await;
        assert!(resumed.is_err(), "{resumed:?}");
    }
}

#[tokio::test]
async fn an_unnamed_stream_may_be_retried_elsewhere_if_a_host_does_not_know_earlier_versions() {
    let harness = Harness::new(&[]);
    harness.store.put_target("t1", "up#v1");
    let first = harness.start_ready("a1").await;
    let connection = harness.store.connection();
    connection.refuse_listings(Topic::Versions);
    let second = harness.start_with_store("a2", connection, |_| {}).await;
    second.wait_ready().await;
    let err = second.send_request(unnamed("n1")).await.unwrap_err();
    let is_retried =
        matches!(err, Failure::NotResumable { retry_after, .. } if retry_after.is_some());
    assert!(is_retried, "{err:?}");
    assert!(first.send_request(unnamed("n2")).await.is_ok());
}

#[tokio::test]
async fn an_unnamed_stream_is_refused_after_a_restart_if_a_recorded_version_cannot_be_read() {
    let harness = Harness::new(&[]);
    let change = |harness: &Harness| {
        replace_target(harness);
        harness
            .store
            .edit_values(Topic::Versions, |value| *value = vec![0xff]);
    };
    let restarted = restart_all_hosts(&harness, change, 1).await;
    let resumed = restarted.send_request(unnamed("n1")).await;
    assert!(resumed.is_err(), "{resumed:?}");
    assert_eq!(harness.targets.runs("n1"), []);
}

#[tokio::test]
async fn id_that_was_used_for_streams_of_two_versions_is_refused() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    let mut versions = HashSet::new();
    while versions.len() < 2 {
        harness
            .targets
            .script_request("r1", &[Action::BreakAfter(2)]);
        let _ = hosts[0].send(harness::NON_RETRIED, "r1").await;
        versions.extend(versions_of(&harness, "r1"));
    }
    let err = hosts[0].resume(RESUMABLE, "n1", "r1", 1).await.unwrap_err();
    let expected = Failure::NotResumable {
        reason: "conflicting records",
        retry_after: None,
    };
    assert_eq!(err, expected);
}

#[tokio::test]
async fn id_names_no_stream_of_another_workspace() {
    let harness = mixed(1);
    harness.configure_keys(2, &[("k1", "w1"), ("k2", "w2")]);
    let hosts = start(&harness, &["a1"], 2).await;
    let with_key = |key: &str, mut req: online::Request| {
        let value = format!("Key {key}").parse().unwrap();
        req.forwarded.headers.insert(harness::KEY_HEADER, value);
        req
    };
    harness
        .targets
        .script_request("r1", &[Action::BreakAfter(2)]);
    let first = with_key("k1", request(harness::NON_RETRIED, "r1"));
    assert!(hosts[0].send_request(first).await.unwrap().body.is_none());
    let other = with_key("k2", resumption(harness::NON_RETRIED, "n1", "r1", 1));
    let err = hosts[0].send_request(other).await.unwrap_err();
    assert!(matches!(err, Failure::NotResumable { .. }), "{err:?}");
    let own = with_key("k1", resumption(harness::NON_RETRIED, "n2", "r1", 1));
    assert!(hosts[0].send_request(own).await.unwrap().body.is_some());
}

#[tokio::test]
async fn malformed_name_of_a_stream_is_rejected() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    let mut req = request(RESUMABLE, "n1");
    req.resumption = Some(Resumption::Malformed);
    let err = hosts[0].send_request(req).await.unwrap_err();
    assert!(matches!(err, Failure::Malformed { .. }), "{err:?}");
}

#[rstest]
#[case::leaves("leaving")]
#[case::is_upgraded_in_place("up#v3")]
#[tokio::test]
async fn stream_whose_version_is_gone_is_refused_for_good_at_once(#[case] change: &str) {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    let version = begin(&harness, &hosts[0], "r1").await;
    let target = format!("{version}-0");
    let change = match change {
        "leaving" => format!("leaving#{version}"),
        change => change.to_owned(),
    };
    harness.store.put_target(&target, &change);
    let started = Instant::now();
    let expected = Failure::NotResumable {
        reason: "no target of its version is left",
        retry_after: None,
    };
    // Until the host has read the change, the stream goes on.
    loop {
        match hosts[0].resume(RESUMABLE, "n1", "r1", 1).await {
            Err(err) if err == expected => break,
            resumed => assert!(resumed.is_ok(), "{resumed:?}"),
        }
        assert!(started.elapsed() < harness::WAIT_MAX);
        // Lets the host read the change.
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let versions = versions_of(&harness, "n1");
    assert!(versions.iter().all(|v| *v == version), "{versions:?}");
}

#[tokio::test]
async fn stream_of_a_target_whose_version_is_not_known_is_not_resumed() {
    let harness = Harness::new(&[]);
    harness.store.put_target("t1", "up#unknown");
    harness.store.put_target("t2", "up#unknown");
    let hosts = start(&harness, &["a1"], 2).await;
    harness
        .targets
        .script_request("r1", &[Action::BreakAfter(2)]);
    let response = hosts[0].send(RESUMABLE, "r1").await.unwrap();
    assert!(response.body.is_none());
    assert_eq!(harness.targets.runs("r1").len(), 1);
    let err = hosts[0].resume(RESUMABLE, "n1", "r1", 1).await.unwrap_err();
    assert!(matches!(err, Failure::NotResumable { .. }), "{err:?}");
}

#[tokio::test]
async fn item_goes_on_only_at_the_version_that_began_its_text() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    for number in 0..STREAMS {
        let (job, item) = (format!("j{number}"), format!("j{number}-0"));
        harness
            .targets
            .script_request(&item, &[Action::BreakAfter(2)]);
        hosts[0].submit(&job, 1, 10).await.unwrap();
        hosts[0].results(&job, 1).await;
        let runs = harness.targets.runs(&item);
        let last_start = runs.iter().rposition(|(_, after)| after.is_none());
        let versions = versions_of(&harness, &item);
        let last_text = &versions[last_start.unwrap()..];
        assert!(
            last_text.iter().all(|v| *v == last_text[0]),
            "{item}: {runs:?}"
        );
    }
}

#[tokio::test]
async fn item_starts_over_if_no_target_of_its_version_is_left() {
    let harness = Harness::new(&[]);
    harness.store.put_target("v1-0", "up#v1");
    let hosts = start(&harness, &["a1"], 1).await;
    harness.targets.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    wait_until("the item runs", || harness.targets.active() == 1).await;
    harness.store.put_target("v2-0", "up#v2");
    harness.store.delete_target("v1-0");
    wait_until("the target is replaced", || {
        let ctx = hosts[0].ctx();
        ctx.is_target_known("v2-0") && !ctx.is_target_known("v1-0")
    })
    .await;
    harness.targets.crash("v1-0");
    harness.targets.release();
    let results = hosts[0].results("j1", 1).await;
    assert_eq!(results[0].text.as_ref().unwrap(), &item_text("j1-0"));
    let expected = [("v1-0".to_owned(), None), ("v2-0".to_owned(), None)];
    assert_eq!(harness.targets.runs("j1-0"), expected);
}

/// The slots of the only target that may continue the item are taken for good.
#[tokio::test]
async fn item_that_waits_for_its_version_neither_blocks_others_nor_waits_for_ever() {
    let harness = mixed(1);
    let hosts = start(&harness, &["a1"], 2).await;
    harness
        .targets
        .script_request("j1-0", &[Action::BreakAfter(2)]);
    harness.targets.script("v1-0", &[]);
    harness.targets.script("v2-0", &[]);
    hosts[0].submit("j1", 1, 10).await.unwrap();
    wait_until("the item runs", || !harness.targets.runs("j1-0").is_empty()).await;
    let version = versions_of(&harness, "j1-0").remove(0);
    let mut taken = Vec::new();
    for number in 0..2 * SLOTS {
        let id = format!("r{number}");
        harness.targets.script_request(&id, &[Action::HangAfter(1)]);
        let response = online::serve(hosts[0].ctx(), request(RESUMABLE, &id), Instant::now());
        let response = response.await.unwrap();
        if versions_of(&harness, &id) == [version.as_str()] {
            taken.push(response);
        }
    }
    hosts[0].submit("j2", 1, 10).await.unwrap();
    for job in ["j2", "j1"] {
        let results = hosts[0].results(job, 1).await;
        let expected = item_text(&format!("{job}-0"));
        assert_eq!(results[0].text.as_ref().unwrap(), &expected);
    }
    drop(taken);
}

/// A host that follows one of an earlier build learns of targets without their versions.
#[tokio::test]
async fn version_that_a_host_lacks_is_learned_from_a_peer() {
    let harness = Harness::new(&[]);
    harness.store.put_target("t1", "up#unknown");
    let first = harness.start_ready("a1").await;
    harness.store.edit_values(Topic::Targets, |value| {
        let text = String::from_utf8_lossy(value).replace("#unknown", "#v1");
        *value = text.into_bytes();
    });
    let _second = harness.start_ready("a2").await;
    let mut number = 0;
    // A stream is resumed only if its version is known.
    loop {
        number += 1;
        let id = format!("r{number}");
        harness
            .targets
            .script_request(&id, &[Action::BreakAfter(2)]);
        let _ = first.send(harness::NON_RETRIED, &id).await;
        let resumed = first.resume(RESUMABLE, &format!("n{number}"), &id, 1).await;
        if resumed.is_ok() {
            break;
        }
        assert!(number < 100, "{resumed:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
