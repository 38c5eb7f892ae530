//! A fleet divided into cells: which hosts exchange messages, and which take over jobs.
//!
//! Data centres have three hosts instead of some sixty; the settings limit the size of a cell.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod harness;

use harness::Harness;
use harness::NON_RETRIED;
use harness::RunningHost;
use harness::store::ScriptedStore;
use harness::targets::Action;
use harness::targets::item_text;
use harness::wait_until;
use notchwharf_gateway::jobs::ItemResult;

const DATA_CENTRES: usize = 4;
/// Hosts per data centre, and maximum number per cell.
const HOSTS: usize = 3;

/// Starts a fleet with a separate store connection per data centre.
async fn start_with_connections(
    harness: &Harness,
    connections: &[ScriptedStore],
) -> Vec<RunningHost> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let data_centre = number / HOSTS;
        let name = format!("h{data_centre}-{number}");
        let started =
            harness.start_with_store(&name, connections[data_centre].clone(), |settings| {
                settings.host.data_centre = format!("d{data_centre}");
                settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
                // Items must not time out before all hosts know of them.
                settings.batch.stall_ms = 10_000;
            });
        hosts.push(started.await);
    }
    for host in &hosts {
        host.wait_ready().await;
    }
    wait_until("hosts are connected to those of their cells only", || {
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
    start_with_connections(harness, &connections(harness)).await
}

fn cell_of(host: &RunningHost) -> &str {
    &host.ctx().settings.host.data_centre
}

/// Waits until a host other than the one that accepted the job owns it. All hosts are checked,
/// since one that is not involved in a job reads its records only every two seconds.
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

fn assert_complete(results: &[ItemResult]) {
    for result in results {
        assert_eq!(result.text.as_ref().unwrap(), &item_text(&result.item));
    }
}

#[tokio::test]
async fn job_runs_once_and_is_readable_in_every_cell() {
    let harness = Harness::new(&["t1", "t2"]);
    let hosts = start(&harness).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    for host in &hosts {
        assert_complete(&host.results("j1", 4).await);
    }
    for item in 0..4 {
        assert_eq!(harness.targets.runs(&format!("j1-{item}")).len(), 1);
    }
}

#[tokio::test]
async fn load_of_a_cell_is_known_in_all_others() {
    // Two slots each, one of which in total is reserved for online requests.
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
    wait_until("every host knows that both ended", || {
        hosts.iter().all(|h| items(h) == 0)
    })
    .await;
}

#[tokio::test]
async fn job_of_a_failed_host_is_taken_over_in_its_cell() {
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
    assert_complete(&reader.results("j1", 1).await);
}

#[tokio::test]
async fn jobs_of_a_failed_cell_are_taken_over_by_another() {
    let harness = Harness::new(&["t1"]);
    let hosts = start(&harness).await;
    harness.targets.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    wait_until("it runs", || harness.targets.active() == 1).await;
    let (failed, remaining): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|h| cell_of(h) == "d0");
    failed.into_iter().for_each(RunningHost::kill);
    let owner = next_owner(&remaining).await;
    assert!(!owner.starts_with("h0-"), "{owner}");
    harness.targets.release();
    assert_complete(&remaining[0].results("j1", 1).await);
}

#[tokio::test]
async fn data_centre_refused_by_the_store_is_served_by_others() {
    let harness = Harness::new(&["t1"]);
    let connections = connections(&harness);
    let hosts = start_with_connections(&harness, &connections).await;
    wait_until("hosts know those of other cells", || {
        let with_store = hosts.iter().map(|h| h.ctx().peers_with_store());
        with_store.min() >= Some(2 * HOSTS)
    })
    .await;
    connections[0].set_closed(true);
    wait_until("the store is unavailable", || {
        hosts[..HOSTS].iter().all(|h| !h.ctx().is_store_up())
    })
    .await;
    harness.configure(5, true);
    wait_until("the routes are received from another cell", || {
        let tables = hosts[..HOSTS].iter().map(|h| h.ctx().table().unwrap());
        tables.into_iter().all(|table| table.version() == 5)
    })
    .await;
    hosts[0].submit("j1", 2, 10).await.unwrap();
    assert_complete(&hosts[1].results("j1", 2).await);
}

/// Copies within the cell only would be lost with it.
#[tokio::test]
async fn stream_goes_on_at_its_version_after_the_cell_that_began_it_was_lost() {
    let harness = Harness::new(&[]);
    for target in ["v1-0", "v2-0", "v1-1", "v2-1"] {
        harness
            .store
            .put_target(target, &format!("up#{}", &target[..2]));
    }
    let mut hosts = start(&harness).await;
    wait_until("the targets are known", || {
        hosts.iter().all(|host| host.ctx().targets_known() == 4)
    })
    .await;
    let mut began = Vec::new();
    for number in 0..8 {
        let id = format!("r{number}");
        harness
            .targets
            .script_request(&id, &[Action::BreakAfter(2)]);
        let response = hosts[0].send(NON_RETRIED, &id).await.unwrap();
        assert!(response.body.is_none(), "{response:?}");
        began.push((harness.targets.runs(&id)[0].0.clone(), id));
    }
    for host in hosts.drain(..HOSTS) {
        host.kill();
    }
    for (number, (target, id)) in began.iter().enumerate() {
        let next = format!("n{number}");
        let host = &hosts[number % hosts.len()];
        let resumed = host.resume(NON_RETRIED, &next, id, 1).await.unwrap();
        assert!(resumed.body.is_some(), "{next}");
        let runs = harness.targets.runs(&next);
        assert_eq!(runs[0].0[..2], target[..2], "{next}");
    }
}
