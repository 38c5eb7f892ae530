//! Evacuated data centres and cold targets.
//!
//! Guards against requests and items that reach targets of an evacuated data centre, whether
//! the host learns of the evacuation from the store or from a peer, and against cold targets
//! that receive more concurrent requests than their rate allows.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use notchwharf_gateway::error::Failure;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;
use world::Running;
use world::World;
use world::close;
use world::start_with_a_door;
use world::until;

/// Returns a world with a target in each of two data centres.
fn world() -> World {
    let world = World::new(&[]);
    world.store.put_target("t1", "up@d");
    world.store.put_target("t2", "up@e");
    world
}

async fn until_evacuated(host: &Running, data_centres: usize) {
    let line = format!("name=\"data_centres_evacuated\"}} {data_centres}");
    until("the evacuation is known", || {
        host.ctx().metrics.text().contains(&line)
    })
    .await;
}

/// Sends ten requests and returns the distinct targets that ran them.
async fn targets_used(world: &World, host: &Running, name: &str) -> Vec<String> {
    let mut targets = Vec::new();
    for number in 0..10 {
        let id = format!("{name}-{number}");
        host.ask(world::ONCE, &id).await.unwrap();
        targets.extend(
            world
                .engines
                .runs(&id)
                .into_iter()
                .map(|(target, _)| target),
        );
    }
    targets.sort();
    targets.dedup();
    targets
}

#[tokio::test]
async fn evacuated_data_centre_receives_nothing_until_evacuation_ends() {
    let world = world();
    let host = world.start_ready("a1").await;
    until("both targets are known", || host.ctx().targets_known() == 2).await;
    assert!(
        targets_used(&world, &host, "r")
            .await
            .contains(&"t1".to_owned())
    );
    world.store.set_evacuated("d", true);
    until_evacuated(&host, 1).await;
    assert_eq!(targets_used(&world, &host, "s").await, ["t2"]);
    host.submit("j1", 4, 10).await.unwrap();
    host.results("j1", 4).await;
    for item in 0..4 {
        let runs = world.engines.runs(&format!("j1-{item}"));
        assert!(runs.iter().all(|(target, _)| target == "t2"), "{runs:?}");
    }
    world.store.set_evacuated("d", false);
    until_evacuated(&host, 0).await;
    assert!(
        targets_used(&world, &host, "u")
            .await
            .contains(&"t1".to_owned())
    );
}

#[tokio::test]
async fn requests_are_refused_as_not_run_if_all_data_centres_are_evacuated() {
    let world = world();
    let host = world.start_ready("a1").await;
    world.store.set_evacuated("d", true);
    world.store.set_evacuated("e", true);
    until_evacuated(&host, 2).await;
    let refused = host.ask(world::ONCE, "r1").await.unwrap_err();
    assert!(matches!(refused, Failure::NotRun { .. }), "{refused:?}");
    assert!(world.engines.runs("r1").is_empty());
}

#[rstest]
#[case::from_records(false)]
#[case::from_listing_after_records_expired(true)]
#[tokio::test]
async fn host_started_during_evacuation_applies_it(#[case] is_expired: bool) {
    let world = world();
    world.store.set_evacuated("e", true);
    world.store.set_evacuated("e", false);
    world.store.set_evacuated("d", true);
    if is_expired {
        world.store.expire();
    }
    let host = world.start_ready("a1").await;
    until_evacuated(&host, 1).await;
    assert_eq!(targets_used(&world, &host, "r").await, ["t2"]);
}

#[tokio::test]
async fn evacuation_ends_if_the_deletion_expired_unread() {
    let world = world();
    let host = world.start_ready("a1").await;
    world.store.set_evacuated("d", true);
    until_evacuated(&host, 1).await;
    world.store.break_reading(Topic::Config);
    world.store.set_evacuated("d", false);
    world.store.expire();
    until_evacuated(&host, 0).await;
}

#[tokio::test]
async fn host_without_store_access_learns_of_evacuation_from_peer() {
    let world = world();
    let (partitioned, door, _connected) = start_with_a_door(&world).await;
    close(&partitioned, &door).await;
    world.store.set_evacuated("d", true);
    until_evacuated(&partitioned, 1).await;
    world.store.set_evacuated("d", false);
    until_evacuated(&partitioned, 0).await;
}

#[tokio::test]
async fn cold_target_receives_fewer_concurrent_requests() {
    let world = World::new(&[]);
    world.store.put_target("t1", "cold");
    let host = world.start_ready("a1").await;
    world.engines.hold();
    let running = host.ask(world::ONCE, "r1");
    let refused = async {
        until("the first request runs", || world.engines.active() == 1).await;
        let refused = host.ask(world::ONCE, "r2").await.unwrap_err();
        world.engines.go();
        refused
    };
    let (response, refused) = futures_util::future::join(running, refused).await;
    assert!(matches!(refused, Failure::NotRun { .. }), "{refused:?}");
    response.unwrap();
    world.store.put_target("t1", "up");
    until("the target is no longer cold", || {
        host.ctx().targets_read_to() == 2
    })
    .await;
    let requests = [host.ask(world::ONCE, "r3"), host.ask(world::ONCE, "r4")];
    for response in futures_util::future::join_all(requests).await {
        response.unwrap();
    }
}
