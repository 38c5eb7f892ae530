//! A fleet in cells: who hears whom, and who looks after whose jobs.
//!
//! Data centres of three hosts stand for some of sixty: the settings say how many
//! hosts make a cell.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use harness::Harness;
use harness::RunningHost;
use harness::store::ScriptedStore;
use harness::targets::item_text;
use harness::wait_until;
use notchwharf_gateway::jobs::ItemResult;

const DATA_CENTRES: usize = 4;
/// Hosts of a data centre, and of a cell at most.
const HOSTS: usize = 3;

/// Starts a fleet whose data centres reach the store through connections of their own.
async fn start_apart(harness: &Harness, connections: &[ScriptedStore]) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let place = number / HOSTS;
        let name = format!("h{place}-{number}");
        let started = harness.start_with_store(&name, connections[place].clone(), |settings| {
            settings.host.data_centre = format!("d{place}");
            settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
            // Items are held until all hosts have heard of them.
            settings.batch.stall_ms = 10_000;
        });
        hosts.push(started.await);
    }
    for host in &hosts {
        host.wait_ready().await;
    }
    wait_until("hosts hear those of their cells, and no others", || {
        hosts
            .iter()
            .all(|host| host.ctx().peers_alive() == HOSTS - 1)
    })
    .await;
    hosts
}

fn connections(harness: &Harness) -> Vec<ScriptedStore> {
    (0..DATA_CENTRES)
        .map(|_| harness.store.connection())
        .collect()
}

async fn start(harness: &Harness) -> Vec<RunningHost> {
    start_apart(harness, &connections(harness)).await
}

fn cell_of(host: &RunningHost) -> &str {
    &host.ctx().settings.host.data_centre
}

/// Waits until another host than the one that took the job in owns it, as the first of
/// the hosts knows: one that has no part in a job reads its records every two seconds.
async fn next_owner(hosts: &[RunningHost]) -> String {
    let owner = || {
        hosts.iter().find_map(|host| {
            let jobs = host.ctx().journal.jobs();
            let job = jobs.get("j1").filter(|job| job.owner_before.is_some());
            job.map(|job| job.owner.clone())
        })
    };
    wait_until("another host owns the job", || owner().is_some()).await;
    owner().unwrap()
}

fn assert_whole(results: &[ItemResult]) {
    for result in results {
        assert_eq!(result.text.as_ref().unwrap(), &item_text(&result.item));
    }
}

#[tokio::test]
async fn a_job_is_done_once_and_read_at_every_cell() {
    let harness = Harness::new(&["t1", "t2"]);
    let hosts = start(&harness).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    for host in &hosts {
        assert_whole(&host.results("j1", 4).await);
    }
    for item in 0..4 {
        assert_eq!(harness.targets.runs(&format!("j1-{item}")).len(), 1);
    }
}

#[tokio::test]
async fn what_a_cell_runs_is_known_in_all_others() {
    // Two places each, one of all of which stays free for online requests.
    let targets = ["t1", "t2"];
    let harness = Harness::new(&targets);
    let hosts = start(&harness).await;
    let items = |host: &RunningHost| -> u32 {
        let loads = targets.iter().map(|target| host.ctx().load_of(target));
        loads.map(|load| load.batch).sum()
    };
    harness.targets.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    hosts[1].submit("j2", 1, 10).await.unwrap();
    wait_until("every host counts both items", || {
        hosts.iter().all(|h| items(h) == 2)
    })
    .await;
    harness.targets.release();
    wait_until("and their ends", || hosts.iter().all(|h| items(h) == 0)).await;
}

#[tokio::test]
async fn a_dead_host_s_job_is_taken_over_in_its_cell() {
    let harness = Harness::new(&["t1"]);
    let mut hosts = start(&harness).await;
    harness.targets.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    wait_until("it runs", || harness.targets.active() == 1).await;
    hosts.remove(0).kill();
    let owner = next_owner(&hosts).await;
    assert!(owner.starts_with("h0-"), "{owner}");
    harness.targets.release();
    let reader = hosts.last().unwrap();
    assert_whole(&reader.results("j1", 1).await);
}

#[tokio::test]
async fn the_jobs_of_a_cell_that_is_gone_are_taken_over_by_another() {
    let harness = Harness::new(&["t1"]);
    let hosts = start(&harness).await;
    harness.targets.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    wait_until("it runs", || harness.targets.active() == 1).await;
    let (gone, left): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|h| cell_of(h) == "d0");
    gone.into_iter().for_each(RunningHost::kill);
    let owner = next_owner(&left).await;
    assert!(!owner.starts_with("h0-"), "{owner}");
    harness.targets.release();
    assert_whole(&left[0].results("j1", 1).await);
}

#[tokio::test]
async fn a_data_centre_that_the_store_turns_away_is_helped_by_others() {
    let harness = Harness::new(&["t1"]);
    let connections = connections(&harness);
    let hosts = start_apart(&harness, &connections).await;
    wait_until("hosts have heard those of other cells", || {
        let heard = hosts.iter().map(|h| h.ctx().peers_with_store());
        heard.min() >= Some(2 * HOSTS)
    })
    .await;
    connections[0].set_closed(true);
    wait_until("the store is lost", || {
        hosts[..HOSTS].iter().all(|h| !h.ctx().is_store_up())
    })
    .await;
    harness.configure(5, true);
    wait_until("the routes came from another cell", || {
        let tables = hosts[..HOSTS].iter().map(|h| h.ctx().table().unwrap());
        tables.into_iter().all(|table| table.version() == 5)
    })
    .await;
    hosts[0].submit("j1", 2, 10).await.unwrap();
    assert_whole(&hosts[1].results("j1", 2).await);
}
