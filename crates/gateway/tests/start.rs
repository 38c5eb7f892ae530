//! A large fleet that starts as a whole.
//!
//! What users saw: after all 295 hosts had lost power for a second, jobs that had been
//! accepted could not be read for the rest of the day, nor were any new ones accepted.
//! Order of events: the hosts were back after 1.4 s and each asked the store for the
//! newest record of every key, of the jobs and of routes, targets and hosts; the store
//! reads out 80 MB a second for all of them together, and what they asked for comes to
//! some 500 MB, worked out from the records; answers came later than the 700 ms that a call may take; hosts gave up and
//! asked again at once, while the store still read out what nobody waited for. Cause:
//! every host lists what all need, and nothing makes them ask less when answers do not
//! come. Evidence: in the twelve seconds that followed, 5,100 listings of the job records
//! timed out, and of the 295 hosts none had loaded them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use std::time::Duration;

use harness::Harness;
use harness::RunningHost;
use harness::store::ScriptedStore;
use harness::wait_until;
use notchwharf_gateway::ports::Topic;

const DATA_CENTRES: usize = 2;
/// Hosts of a data centre, which are a cell.
const HOSTS: usize = 8;
/// Hosts of a cell that list from the store.
const LISTERS: usize = 3;

/// Starts the fleet; hosts reach the store through the connections that are given for them.
async fn start(
    harness: &Harness,
    connection_of: impl Fn(usize) -> ScriptedStore,
) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let place = number / HOSTS;
        let name = format!("h{place}-{number}");
        let started = harness.start_with_store(&name, connection_of(number), |settings| {
            settings.host.data_centre = format!("d{place}");
            settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
        });
        hosts.push(started.await);
    }
    hosts
}

async fn until_all_serve(hosts: &[RunningHost]) {
    for host in hosts {
        host.wait_ready().await;
    }
}

/// Returns a harness whose fleet has done a job and lost power.
async fn after_a_loss_of_power() -> Harness {
    let harness = Harness::new(&["t1", "t2"]);
    harness.store.set_page_len(500);
    let hosts = start(&harness, |_| harness.store.clone()).await;
    until_all_serve(&hosts).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    hosts[0].results("j1", 4).await;
    hosts.into_iter().for_each(RunningHost::kill);
    harness
}

#[tokio::test]
async fn a_fleet_that_starts_again_does_not_list_once_for_each_host() {
    let harness = after_a_loss_of_power().await;
    let topics = [Topic::Jobs, Topic::Config, Topic::Targets];
    let before = topics.map(|topic| harness.store.pages_read(topic));
    let hosts = start(&harness, |_| harness.store.clone()).await;
    until_all_serve(&hosts).await;
    for (topic, before) in topics.into_iter().zip(before) {
        let listings = harness.store.pages_read(topic) - before;
        let most = DATA_CENTRES * LISTERS;
        assert!(listings <= most, "{topic:?}: {listings} listings");
    }
    for host in &hosts {
        assert_eq!(host.results("j1", 4).await.len(), 4);
    }
}

#[tokio::test]
async fn hosts_list_for_themselves_if_those_that_should_cannot() {
    let harness = after_a_loss_of_power().await;
    let closed = harness.store.connection();
    closed.set_closed(true);
    let open = harness.store.clone();
    // All hosts of a data centre but the last are turned away.
    let connection_of = |number: usize| match number < HOSTS - 1 {
        true => closed.clone(),
        false => open.clone(),
    };
    let hosts = start(&harness, connection_of).await;
    wait_until("the last one has the records", || {
        hosts[HOSTS - 1].ctx().journal.is_loaded()
    })
    .await;
    assert_eq!(hosts[HOSTS - 1].results("j1", 4).await.len(), 4);
    closed.set_closed(false);
    until_all_serve(&hosts).await;
}

/// Guards against every host listing for itself when its first listing of the hosts times
/// out.
#[tokio::test]
async fn a_fleet_whose_host_list_is_late_does_not_list_once_for_each_host() {
    let harness = after_a_loss_of_power().await;
    let topics = [Topic::Jobs, Topic::Config, Topic::Targets];
    let before = topics.map(|topic| harness.store.pages_read(topic));
    let hosts = start(&harness, |_| {
        let connection = harness.store.connection();
        connection.time_out_first_listing(Topic::Hosts, Duration::from_millis(700));
        connection
    })
    .await;
    until_all_serve(&hosts).await;
    for (topic, before) in topics.into_iter().zip(before) {
        let listings = harness.store.pages_read(topic) - before;
        let most = DATA_CENTRES * LISTERS;
        assert!(listings <= most, "{topic:?}: {listings} listings");
    }
}
