//! Routes and targets, as hosts learn of them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::time::Duration;
use std::time::Instant;

use notchwharf_gateway::metrics::Counted;
use notchwharf_gateway::ports::Topic;
use rstest::rstest;
use world::Running;
use world::World;
use world::start_with_a_door;
use world::until;

fn version(host: &Running) -> Option<u64> {
    host.ctx().table().map(|t| t.version())
}

#[tokio::test]
async fn a_target_that_leaves_or_is_gone_gets_nothing_new() {
    let world = World::new(&["t1", "t2", "t3"]);
    let host = world.start_ready("a1").await;
    until("all are known", || host.ctx().targets_known() == 3).await;
    world.store.put_target("t1", "leaving");
    world.store.drop_target("t2");
    until("one is gone", || host.ctx().targets_known() == 2).await;
    until("one is leaving", || host.ctx().is_leaving("t1")).await;
    for number in 0..6 {
        let id = format!("r{number}");
        host.ask(world::ONCE, &id).await.unwrap();
        assert_eq!(world.engines.runs(&id)[0].0, "t3");
    }
}

/// Regression: a host that had been cut from the store some seconds before
/// kept a target in use after its entry was gone (vantu-lectii, scale-2).
#[tokio::test]
async fn an_entry_that_goes_well_after_an_outage_counts_at_once() {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    until("all are known", || host.ctx().targets_known() == 2).await;
    world.store.close(true);
    until("the store is lost", || !host.ctx().is_store_up()).await;
    world.store.close(false);
    until("the store is back", || host.ctx().is_store_up()).await;
    let back = Instant::now();
    let grace = Duration::from_millis(2_300);
    until("the outage is over", || back.elapsed() > grace).await;
    let gone = Instant::now();
    world.store.drop_target("t1");
    until("it is gone", || host.ctx().targets_known() == 1).await;
    assert!(gone.elapsed() < Duration::from_millis(1_500));
}

/// Regression. Requests reached a target 2,098 ms after the store had said that
/// it was gone; 2,000 ms are allowed.
///
/// Connections to the store fell silent for a moment, then the store served
/// again. Several seconds later the entry went, and nine hosts read so within
/// 4 ms. Seven stopped at once. Two kept the target for 2.2 s from the last
/// failed call they had noticed, as if its entry might have lapsed.
///
/// The cause: that call was about something else, and had failed long before it
/// was noticed. The log of failed calls showed a reading of the hosts, begun
/// 10.7 s before on a connection that fell silent meanwhile, and a reading of
/// job records on a kept connection that had been silent for 3 s. No call that
/// was begun after the silence failed.
#[rstest]
#[tokio::test]
async fn a_failed_call_about_something_else_keeps_no_target_that_is_gone(
    #[values(Topic::Hosts, Topic::Jobs, Topic::Config)] topic: Topic,
) {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    until("all are known", || host.ctx().targets_known() == 2).await;
    let before = world.store.readings(topic);
    world.store.break_reading(topic);
    // The next one begins after the failure was noticed.
    until("it is read again", || {
        world.store.readings(topic) > before + 1
    })
    .await;
    world.store.drop_target("t1");
    world.store.put_target("t3", "up");
    until("the later record is known", || {
        host.ctx().is_target_known("t3")
    })
    .await;
    assert!(!host.ctx().is_target_known("t1"));
}

/// Regression. Two hosts counted the store as lost 0.2 s after its last answer
/// and refused jobs for a moment: readings that had waited 2.7 s on connections
/// that had fallen silent were noticed to fail one after the other. Their log
/// showed answers to calls that had been begun since.
#[tokio::test]
async fn readings_that_fail_late_do_not_make_the_store_lost() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    let before = world.store.readings(Topic::Jobs);
    until("the store has answered since", || {
        world.store.readings(Topic::Jobs) > before + 1
    })
    .await;
    let hosts = world.store.readings(Topic::Hosts);
    let config = world.store.readings(Topic::Config);
    world.store.break_reading(Topic::Hosts);
    world.store.break_reading(Topic::Config);
    until("both are read again", || {
        world.store.readings(Topic::Hosts) > hosts && world.store.readings(Topic::Config) > config
    })
    .await;
    assert_eq!(
        host.ctx().metrics.counted(Counted::Changes, "store lost"),
        0
    );
}

/// Regression, found by reading: an entry that was written again between two
/// pages of a listing was left out of it, and its living target taken out until
/// the next reading. Here there is no next reading.
#[tokio::test]
async fn an_entry_written_while_a_listing_is_read_is_not_missing() {
    let world = World::new(&["t1", "t2", "t3", "t4"]);
    world.store.put_target_between_pages("t4", "up");
    for _ in 0..1_000 {
        world.store.break_reading(Topic::Targets);
    }
    let host = world.start_ready("a1").await;
    until("all are known", || host.ctx().targets_known() == 4).await;
}

#[tokio::test]
async fn an_entry_that_lapsed_in_an_outage_is_kept_until_it_is_back() {
    let world = World::new(&["t1", "t2"]);
    let host = world.start_ready("a1").await;
    until("all are known", || host.ctx().targets_known() == 2).await;
    world.store.close(true);
    until("the store is lost", || !host.ctx().is_store_up()).await;
    world.store.drop_target("t1");
    world.store.drop_target("t2");
    world.store.close(false);
    until("the store is back", || host.ctx().is_store_up()).await;
    world.store.put_target("t1", "up");
    host.ask(world::ONCE, "r1").await.unwrap();
    until("the other is taken for gone", || {
        host.ctx().targets_known() == 1
    })
    .await;
    assert!(!host.ctx().is_leaving("t1"));
}

#[tokio::test]
async fn a_host_that_is_cut_from_the_store_takes_routes_and_targets_from_a_peer() {
    let world = World::new(&["t1"]);
    let (cut, door, _whole) = start_with_a_door(&world).await;
    door.close(true);
    world.configure(5, true);
    world.store.put_target("t2", "up");
    until("the routes came from the peer", || version(&cut) == Some(5)).await;
    until("the target came from the peer", || {
        cut.ctx().targets_known() == 2
    })
    .await;
    door.close(false);
    until("the store is back", || cut.ctx().is_store_up()).await;
    assert_eq!(version(&cut), Some(5));
    world.configure(9, true);
    until("the store tells again", || version(&cut) == Some(9)).await;
}

#[tokio::test]
async fn an_unreadable_configuration_changes_nothing() {
    let world = World::new(&["t1"]);
    let host = world.start_ready("a1").await;
    world.store.put_config("nonsense");
    world.configure(3, true);
    until("the next one is in force", || version(&host) == Some(3)).await;
}

#[tokio::test]
async fn after_its_history_is_gone_the_store_s_newest_entries_count() {
    let world = World::new(&["t1"]);
    let door = world.store.door();
    let host = world.start_apart("a1", door.clone(), |_| {}).await;
    host.until_ready().await;
    door.close(true);
    until("the store is lost", || !host.ctx().is_store_up()).await;
    world.configure(2, true);
    world.configure(4, true);
    world.store.put_target("t2", "up");
    world.store.expire();
    door.close(false);
    until("the newest is in force", || version(&host) == Some(4)).await;
    until("the new target is known", || {
        host.ctx().targets_known() == 2
    })
    .await;
}

/// Regression: a host took a target whose entry had lapsed from a peer that
/// was still waiting for it, and kept it for good (sul-permissoes-grown,
/// trouble-1).
#[tokio::test]
async fn a_lapsed_entry_that_does_not_come_back_is_not_handed_on_to_peers() {
    let world = World::new(&["t1", "t2"]);
    let (door_1, door_2) = (world.store.door(), world.store.door());
    let cut = world.start_apart("a1", door_1.clone(), |_| {}).await;
    let waiting = world.start_apart("a2", door_2.clone(), |_| {}).await;
    for host in [&cut, &waiting] {
        host.until_ready().await;
        until("all is known", || {
            host.ctx().targets_known() == 2 && host.ctx().peers_alive() == 1
        })
        .await;
    }
    door_1.close(true);
    door_2.close(true);
    until("the store is lost", || {
        !cut.ctx().is_store_up() && !waiting.ctx().is_store_up()
    })
    .await;
    world.store.drop_target("t1");
    world.configure(2, true);
    door_2.close(false);
    until("the peer's news came", || version(&cut) == Some(2)).await;
    until("the peer dropped it", || waiting.ctx().targets_known() == 1).await;
    until("the other dropped it", || cut.ctx().targets_known() == 1).await;
}
