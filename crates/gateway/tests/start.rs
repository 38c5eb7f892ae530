//! A large fleet that starts all at once.
//!
//! Guards against a store that is overloaded by listings when a whole fleet restarts. Each of
//! 295 hosts listed the newest records of jobs, routes, targets and hosts: some 500 MB in all
//! from a store that reads 80 MB a second. The calls exceeded their timeout of 700 ms, and hosts
//! retried at once while the store still worked on the old calls. In twelve seconds 5,100
//! listings of the job records timed out and no host had loaded them; for the rest of the day
//! jobs could neither be read nor accepted.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;

use harness::Harness;
use harness::RunningHost;
use harness::store::ScriptedStore;
use harness::wait_until;
use notchwharf_gateway::ports::Topic;

const DATA_CENTRES: usize = 2;
/// Hosts per data centre; they form one cell.
const HOSTS: usize = 8;
/// Hosts of a cell that list from the store.
const LISTING_HOSTS: usize = 3;

/// Starts the fleet; each host uses its own connection to the store.
async fn start(
    harness: &Harness,
    connection_of: impl Fn(usize) -> ScriptedStore,
) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let data_centre = number / HOSTS;
        let name = format!("h{data_centre}-{number}");
        let started = harness.start_with_store(&name, connection_of(number), |settings| {
            settings.host.data_centre = format!("d{data_centre}");
            settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
        });
        hosts.push(started.await);
    }
    hosts
}

async fn wait_all_ready(hosts: &[RunningHost]) {
    for host in hosts {
        host.wait_ready().await;
    }
}

/// Returns a harness whose fleet has completed a job and was then killed.
async fn after_a_power_loss() -> Harness {
    let harness = Harness::new(&["t1", "t2"]);
    harness.store.set_page_len(500);
    let hosts = start(&harness, |_| harness.store.clone()).await;
    wait_all_ready(&hosts).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    hosts[0].results("j1", 4).await;
    hosts.into_iter().for_each(RunningHost::kill);
    harness
}

#[tokio::test]
async fn a_restarted_fleet_does_not_list_once_per_host() {
    let harness = after_a_power_loss().await;
    let topics = [Topic::Jobs, Topic::Config, Topic::Targets];
    let before = topics.map(|topic| harness.store.pages_read(topic));
    let hosts = start(&harness, |_| harness.store.clone()).await;
    wait_all_ready(&hosts).await;
    for (topic, before) in topics.into_iter().zip(before) {
        let listings = harness.store.pages_read(topic) - before;
        let max_listings = DATA_CENTRES * LISTING_HOSTS;
        assert!(listings <= max_listings, "{topic:?}: {listings} listings");
    }
    for host in &hosts {
        assert_eq!(host.results("j1", 4).await.len(), 4);
    }
}

#[tokio::test]
async fn hosts_list_for_themselves_if_the_listing_hosts_cannot() {
    let harness = after_a_power_loss().await;
    let unreachable = harness.store.connection();
    unreachable.set_closed(true);
    let reachable = harness.store.clone();
    // All hosts of a data centre but the last are refused by the store.
    let connection_of = |number: usize| match number < HOSTS - 1 {
        true => unreachable.clone(),
        false => reachable.clone(),
    };
    let hosts = start(&harness, connection_of).await;
    wait_until("the last host has the records", || {
        hosts[HOSTS - 1].ctx().journal.is_loaded()
    })
    .await;
    assert_eq!(hosts[HOSTS - 1].results("j1", 4).await.len(), 4);
    unreachable.set_closed(false);
    wait_all_ready(&hosts).await;
}

/// Guards against every host listing for itself when its first listing of the hosts times
/// out.
#[tokio::test]
async fn a_fleet_whose_host_list_is_late_does_not_list_once_per_host() {
    let harness = after_a_power_loss().await;
    let topics = [Topic::Jobs, Topic::Config, Topic::Targets];
    let before = topics.map(|topic| harness.store.pages_read(topic));
    let hosts = start(&harness, |_| {
        let connection = harness.store.connection();
        connection.time_out_first_listing(Topic::Hosts, Duration::from_millis(700));
        connection
    })
    .await;
    wait_all_ready(&hosts).await;
    for (topic, before) in topics.into_iter().zip(before) {
        let listings = harness.store.pages_read(topic) - before;
        let max_listings = DATA_CENTRES * LISTING_HOSTS;
        assert!(listings <= max_listings, "{topic:?}: {listings} listings");
    }
}
