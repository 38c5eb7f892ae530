//! API keys, and the jobs of workspaces, at a host that is cut off from the store while a peer
//! reaches it.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::time::Duration;

use hyper::HeaderMap;
use notchwharf_gateway::access;
use notchwharf_gateway::access::RequestHead;
use notchwharf_gateway::error::AuthError;
use notchwharf_gateway::error::Failure;
use notchwharf_gateway::error::JobError;
use notchwharf_gateway::jobs;
use world::HOST;
use world::KEY;
use world::Running;
use world::World;
use world::close;
use world::start_with_a_door;
use world::store::ScriptedStore;
use world::submission;
use world::targets::whole;
use world::until;

/// Starts a host that knows the keys and is then cut off from the store, and one that is not.
async fn start(world: &World) -> (Running, ScriptedStore, Running) {
    world.configure_keys(2, &[("k1", "choir"), ("k2", "choir"), ("k3", "strings")]);
    let (isolated, store, connected) = start_with_a_door(world).await;
    close(&isolated, &store).await;
    (isolated, store, connected)
}

fn is_not_run(result: &Result<world::Whole, Failure>) -> bool {
    matches!(result, Err(Failure::NotRun { .. }))
}

async fn until_version(host: &Running, version: u64) {
    until("the configuration is loaded", || {
        host.ctx().table().is_some_and(|t| t.version() == version)
    })
    .await;
}

#[tokio::test]
async fn keys_are_removed_and_added_at_a_host_that_learns_of_it_only_from_a_peer() {
    let world = World::new(&["t1"]);
    let (isolated, _store, connected) = start(&world).await;
    let response = isolated.ask_as("k1", "before").await.unwrap();
    assert_eq!(response.text().unwrap(), whole("before"));
    world.configure_keys(3, &[("k2", "choir"), ("k4", "strings")]);
    until_version(&isolated, 3).await;
    // It can't know whether a newer configuration contains the key again.
    assert!(is_not_run(&isolated.ask_as("k1", "gone").await));
    let denied = connected.ask_as("k1", "gone").await.unwrap_err();
    assert_eq!(denied, Failure::Unauthorized(AuthError::Removed));
    let never = connected.ask_as("k9", "never").await.unwrap_err();
    assert_eq!(never, Failure::Unauthorized(AuthError::Unknown));
    for id in ["gone", "never"] {
        assert!(world.engines.runs(id).is_empty());
    }
    assert!(isolated.ask_as("k4", "added").await.is_ok());
}

async fn job_of(host: &Running, key: &str) -> String {
    let mut headers = HeaderMap::new();
    headers.insert(KEY, format!("Key {key}").parse().unwrap());
    let presented = RequestHead {
        id: "j1",
        host: HOST,
        path: "/",
        headers: &headers,
    };
    let caller = access::identify_job_caller(host.ctx(), presented)
        .await
        .unwrap();
    jobs::id_of(host.ctx(), &caller, "j1")
}

#[tokio::test]
async fn a_job_that_is_forwarded_between_hosts_stays_with_its_workspace() {
    let world = World::new(&["t1"]);
    let (isolated, _store, connected) = start(&world).await;
    let job = job_of(&isolated, "k1").await;
    let mut submitted = submission("j1", 2, 10);
    submitted.job.clone_from(&job);
    jobs::submit(isolated.ctx(), submitted).await.unwrap();
    for host in [&isolated, &connected] {
        assert_eq!(job_of(host, "k2").await, job);
        assert_eq!(host.results(&job, 2).await.len(), 2);
        let other_job = job_of(host, "k3").await;
        let read = jobs::read(host.ctx(), &other_job, 0, Duration::ZERO).await;
        assert_eq!(read.unwrap_err(), JobError::NotFound);
        let read = jobs::body(host.ctx(), &other_job, "j1-0").await;
        assert_eq!(read.unwrap_err(), JobError::NotFound);
        assert_eq!(
            jobs::end(host.ctx(), &other_job).await.unwrap_err(),
            JobError::NotFound
        );
    }
}
