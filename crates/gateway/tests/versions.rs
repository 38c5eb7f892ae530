//! Targets of several software versions in one service: a stream, and the text of an item, has
//! events of only one of them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use harness::Harness;
use harness::RESUMABLE;
use harness::RunningHost;
use harness::targets::Action;
use harness::targets::full_response;
use harness::wait_until;
use rstest::rstest;

/// Number of streams per test: a host that ignores versions joins none of them with a
/// probability below one in a thousand.
const STREAMS: usize = 12;

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
