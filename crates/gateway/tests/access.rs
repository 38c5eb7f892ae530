//! API keys, and the jobs of workspaces, at a host that is cut off from the store while a peer
//! reaches it.
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

/// Starts a host that knows the keys and is then cut off from the store, and one that is not.
async fn start(harness: &Harness) -> (RunningHost, ScriptedStore, RunningHost) {
    harness.configure_keys(2, &[("k1", "choir"), ("k2", "choir"), ("k3", "strings")]);
    let (isolated, connection, connected) = start_two_hosts(harness).await;
    close_connection(&isolated, &connection).await;
    (isolated, connection, connected)
}

fn is_not_run(result: &Result<harness::Response, Failure>) -> bool {
    matches!(result, Err(Failure::NotRun { .. }))
}

async fn wait_for_version(host: &RunningHost, version: u64) {
    wait_until("the configuration is loaded", || {
        host.ctx().table().is_some_and(|t| t.version() == version)
    })
    .await;
}

#[tokio::test]
async fn keys_are_removed_and_added_at_a_host_that_learns_of_it_only_from_a_peer() {
    let harness = Harness::new(&["t1"]);
    let (isolated, _connection, connected) = start(&harness).await;
    let response = isolated.send_with_key("k1", "before").await.unwrap();
    assert_eq!(response.text().unwrap(), full_response("before"));
    harness.configure_keys(3, &[("k2", "choir"), ("k4", "strings")]);
    wait_for_version(&isolated, 3).await;
    // It can't know whether a newer configuration contains the key again.
    assert!(is_not_run(&isolated.send_with_key("k1", "gone").await));
    let denied = connected.send_with_key("k1", "gone").await.unwrap_err();
    assert_eq!(denied, Failure::Unauthorized(AuthError::Removed));
    let never = connected.send_with_key("k9", "never").await.unwrap_err();
    assert_eq!(never, Failure::Unauthorized(AuthError::Unknown));
    for id in ["gone", "never"] {
        assert!(harness.targets.runs(id).is_empty());
    }
    assert!(isolated.send_with_key("k4", "added").await.is_ok());
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
async fn a_job_that_is_forwarded_between_hosts_stays_with_its_workspace() {
    let harness = Harness::new(&["t1"]);
    let (isolated, _connection, connected) = start(&harness).await;
    let job = job_of(&isolated, "k1").await;
    let mut submitted = submission("j1", 2, 10);
    submitted.job.clone_from(&job);
    jobs::submit(isolated.ctx(), submitted).await.unwrap();
    for host in [&isolated, &connected] {
        assert_eq!(job_of(host, "k2").await, job);
        assert_eq!(host.results(&job, 2).await.len(), 2);
        let other_job = job_of(host, "k3").await;
        let read = jobs::read_results(host.ctx(), &other_job, 0, Duration::ZERO).await;
        assert_eq!(read.unwrap_err(), JobError::NotFound);
        let read = jobs::read_item_body(host.ctx(), &other_job, "j1-0").await;
        assert_eq!(read.unwrap_err(), JobError::NotFound);
        assert_eq!(
            jobs::end(host.ctx(), &other_job).await.unwrap_err(),
            JobError::NotFound
        );
    }
}
