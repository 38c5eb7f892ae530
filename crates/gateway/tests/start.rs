//! A large fleet that starts all at once.
//!
//! Guards against a store that is overloaded by listings when a whole fleet restarts. Each of
//! 295 hosts listed the newest records of jobs, routes, targets and hosts: some 500 MB in all
//! from a store that reads 80 MB a second. The calls exceeded their timeout of 700 ms, and hosts
//! retried at once while the store still worked on the old calls. In twelve seconds 5,100
//! listings of the job records timed out and no host had loaded them; for the rest of the day
//! jobs could neither be read nor accepted.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::time::Duration;

use notchwharf_gateway::ports::Topic;
use world::Running;
use world::World;
use world::store::ScriptedStore;
use world::until;

const DATA_CENTRES: usize = 2;
/// Hosts per data centre; they form one cell.
const HOSTS: usize = 8;
/// Hosts of a cell that list from the store.
const LISTERS: usize = 3;

/// Starts the fleet; each host uses its own handle of the store.
async fn start(world: &World, store_of: impl Fn(usize) -> ScriptedStore) -> Vec<Running> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let data_centre = number / HOSTS;
        let name = format!("h{data_centre}-{number}");
        let started = world.start_apart(&name, store_of(number), |settings| {
            settings.host.data_centre = format!("d{data_centre}");
            settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
        });
        hosts.push(started.await);
    }
    hosts
}

async fn until_all_serve(hosts: &[Running]) {
    for host in hosts {
        host.until_ready().await;
    }
}

/// Returns a world whose fleet has completed a job and was then killed.
async fn after_a_power_loss() -> World {
    let world = World::new(&["t1", "t2"]);
    world.store.set_page(500);
    let hosts = start(&world, |_| world.store.clone()).await;
    until_all_serve(&hosts).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    hosts[0].results("j1", 4).await;
    hosts.into_iter().for_each(Running::kill);
    world
}

#[tokio::test]
async fn a_restarted_fleet_does_not_list_once_per_host() {
    let world = after_a_power_loss().await;
    let topics = [Topic::Jobs, Topic::Config, Topic::Targets];
    let before = topics.map(|topic| world.store.listings(topic));
    let hosts = start(&world, |_| world.store.clone()).await;
    until_all_serve(&hosts).await;
    for (topic, before) in topics.into_iter().zip(before) {
        let listings = world.store.listings(topic) - before;
        let max_listings = DATA_CENTRES * LISTERS;
        assert!(listings <= max_listings, "{topic:?}: {listings} listings");
    }
    for host in &hosts {
        assert_eq!(host.results("j1", 4).await.len(), 4);
    }
}

#[tokio::test]
async fn hosts_list_for_themselves_if_the_listers_cannot() {
    let world = after_a_power_loss().await;
    let unreachable = world.store.door();
    unreachable.close(true);
    let reachable = world.store.clone();
    // All hosts of a data centre but the last are refused by the store.
    let store_of = |number: usize| match number < HOSTS - 1 {
        true => unreachable.clone(),
        false => reachable.clone(),
    };
    let hosts = start(&world, store_of).await;
    until("the last host has the records", || {
        hosts[HOSTS - 1].ctx().journal.is_loaded()
    })
    .await;
    assert_eq!(hosts[HOSTS - 1].results("j1", 4).await.len(), 4);
    unreachable.close(false);
    until_all_serve(&hosts).await;
}

/// Guards against every host listing for itself when its first listing of the hosts times
/// out.
#[tokio::test]
async fn a_fleet_whose_host_list_is_late_does_not_list_once_per_host() {
    let world = after_a_power_loss().await;
    let topics = [Topic::Jobs, Topic::Config, Topic::Targets];
    let before = topics.map(|topic| world.store.listings(topic));
    let hosts = start(&world, |_| {
        let store = world.store.door();
        store.time_out_first_listing(Topic::Hosts, Duration::from_millis(700));
        store
    })
    .await;
    until_all_serve(&hosts).await;
    for (topic, before) in topics.into_iter().zip(before) {
        let listings = world.store.listings(topic) - before;
        let max_listings = DATA_CENTRES * LISTERS;
        assert!(listings <= max_listings, "{topic:?}: {listings} listings");
    }
}
