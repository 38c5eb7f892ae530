//! Keys and workspaces' jobs at a host that does not reach the store while a peer does.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;

use harness::HOST;
use harness::Harness;
use harness::KEY_HEADER;
use harness::RunningHost;
use harness::close_connection;
use harness::start_two_hosts;
use harness::store::ScriptedStore;
use harness::submission;
use harness::targets::full_response;
use harness::wait_until;
use hyper::HeaderMap;
use notchwharf_gateway::access;
use notchwharf_gateway::access::RequestHead;
use notchwharf_gateway::error::AuthError;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::error::JobError;
use notchwharf_gateway::jobs;

/// A host that knows keys and does not reach the store any more, and one that does.
async fn start(harness: &Harness) -> (RunningHost, ScriptedStore, RunningHost) {
    harness.configure_keys(2, &[("k1", "choir"), ("k2", "choir"), ("k3", "strings")]);
    let (cut, connection, open) = start_two_hosts(harness).await;
    close_connection(&cut, &connection).await;
    (cut, connection, open)
}

fn is_refused_as_not_run(answered: &Result<harness::Response, Failure>) -> bool {
    matches!(answered, Err(Failure::NotRun { .. }))
}

async fn until_version(host: &RunningHost, version: u64) {
    wait_until("the configuration is there", || {
        host.ctx().table().is_some_and(|t| t.version() == version)
    })
    .await;
}

#[tokio::test]
async fn a_key_is_taken_away_and_added_at_a_host_that_hears_of_it_from_a_peer_alone() {
    let harness = Harness::new(&["t1"]);
    let (cut, _door, open) = start(&harness).await;
    let answer = cut.send_with_key("k1", "before").await.unwrap();
    assert_eq!(answer.text().unwrap(), full_response("before"));
    harness.configure_keys(3, &[("k2", "choir"), ("k4", "strings")]);
    until_version(&cut, 3).await;
    // It cannot know that no newer configuration has the key again.
    assert!(is_refused_as_not_run(
        &cut.send_with_key("k1", "gone").await
    ));
    let denied = open.send_with_key("k1", "gone").await.unwrap_err();
    assert_eq!(denied, Failure::Unauthorized(AuthError::Removed));
    let never = open.send_with_key("k9", "never").await.unwrap_err();
    assert_eq!(never, Failure::Unauthorized(AuthError::Unknown));
    for id in ["gone", "never"] {
        assert!(harness.targets.runs(id).is_empty());
    }
    assert!(cut.send_with_key("k4", "added").await.is_ok());
}

async fn job_of(host: &RunningHost, key: &str) -> String {
    let mut headers = HeaderMap::new();
    headers.insert(KEY_HEADER, format!("Key {key}").parse().unwrap());
    let presented = RequestHead {
        id: "j1",
        host: HOST,
        path: "/",
        headers: &headers,
    };
    let caller = access::identify_job_caller(host.ctx(), presented)
        .await
        .unwrap();
    jobs::resolve_job_id(host.ctx(), &caller, "j1")
}

#[tokio::test]
async fn a_job_passed_on_between_hosts_stays_its_workspace_s() {
    let harness = Harness::new(&["t1"]);
    let (cut, _door, open) = start(&harness).await;
    let job = job_of(&cut, "k1").await;
    let mut submitted = submission("j1", 2, 10);
    submitted.job.clone_from(&job);
    jobs::submit(cut.ctx(), submitted).await.unwrap();
    for host in [&cut, &open] {
        assert_eq!(job_of(host, "k2").await, job);
        assert_eq!(host.results(&job, 2).await.len(), 2);
        let theirs = job_of(host, "k3").await;
        let none = jobs::read_results(host.ctx(), &theirs, 0, Duration::ZERO).await;
        assert_eq!(none.unwrap_err(), JobError::NotFound);
        let none = jobs::read_item_body(host.ctx(), &theirs, "j1-0").await;
        assert_eq!(none.unwrap_err(), JobError::NotFound);
        assert_eq!(
            jobs::end(host.ctx(), &theirs).await.unwrap_err(),
            JobError::NotFound
        );
    }
}
