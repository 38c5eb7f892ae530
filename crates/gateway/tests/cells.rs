//! A fleet divided into cells: which hosts exchange messages, and which take over jobs.
//!
//! Data centres have three hosts instead of some sixty; the settings limit the size of a cell.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use notchwharf_gateway::jobs::ItemResult;
use world::Running;
use world::World;
use world::store::ScriptedStore;
use world::targets::item_text;
use world::until;

const DATA_CENTRES: usize = 4;
/// Hosts per data centre, and maximum number per cell.
const HOSTS: usize = 3;

/// Starts a fleet with a separate store connection per data centre.
async fn start_with_doors(world: &World, doors: &[ScriptedStore]) -> Vec<Running> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let data_centre = number / HOSTS;
        let name = format!("h{data_centre}-{number}");
        let started = world.start_apart(&name, doors[data_centre].clone(), |settings| {
            settings.host.data_centre = format!("d{data_centre}");
            settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
            // Items must not time out before all hosts know of them.
            settings.batch.stall_ms = 10_000;
        });
        hosts.push(started.await);
    }
    for host in &hosts {
        host.until_ready().await;
    }
    until("hosts are connected to those of their cells only", || {
        hosts
            .iter()
            .all(|host| host.ctx().peers_alive() == HOSTS - 1)
    })
    .await;
    hosts
}

fn doors(world: &World) -> Vec<ScriptedStore> {
    (0..DATA_CENTRES).map(|_| world.store.door()).collect()
}

async fn start(world: &World) -> Vec<Running> {
    start_with_doors(world, &doors(world)).await
}

fn cell_of(host: &Running) -> &str {
    &host.ctx().settings.host.data_centre
}

/// Waits until a host other than the one that accepted the job owns it. All hosts are checked,
/// since one that is not involved in a job reads its records only every two seconds.
async fn next_owner(hosts: &[Running]) -> String {
    let owner = || {
        hosts.iter().find_map(|host| {
            let jobs = host.ctx().journal.jobs();
            let job = jobs.get("j1").filter(|job| job.owner_before.is_some());
            job.map(|job| job.owner.clone())
        })
    };
    until("another host owns the job", || owner().is_some()).await;
    owner().unwrap()
}

fn assert_complete(results: &[ItemResult]) {
    for result in results {
        assert_eq!(result.text.as_ref().unwrap(), &item_text(&result.item));
    }
}

#[tokio::test]
async fn job_runs_once_and_is_readable_in_every_cell() {
    let world = World::new(&["t1", "t2"]);
    let hosts = start(&world).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    for host in &hosts {
        assert_complete(&host.results("j1", 4).await);
    }
    for item in 0..4 {
        assert_eq!(world.engines.runs(&format!("j1-{item}")).len(), 1);
    }
}

#[tokio::test]
async fn load_of_a_cell_is_known_in_all_others() {
    // Two slots each, one of which in total is reserved for online requests.
    let targets = ["t1", "t2"];
    let world = World::new(&targets);
    let hosts = start(&world).await;
    let items = |host: &Running| -> u32 {
        let loads = targets.iter().map(|target| host.ctx().load_of(target));
        loads.map(|load| load.batch).sum()
    };
    world.engines.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    hosts[1].submit("j2", 1, 10).await.unwrap();
    until("every host counts both items", || {
        hosts.iter().all(|h| items(h) == 2)
    })
    .await;
    world.engines.go();
    until("every host knows that both ended", || {
        hosts.iter().all(|h| items(h) == 0)
    })
    .await;
}

#[tokio::test]
async fn job_of_a_failed_host_is_taken_over_in_its_cell() {
    let world = World::new(&["t1"]);
    let mut hosts = start(&world).await;
    world.engines.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    until("it runs", || world.engines.active() == 1).await;
    hosts.remove(0).kill();
    let owner = next_owner(&hosts).await;
    assert!(owner.starts_with("h0-"), "{owner}");
    world.engines.go();
    let reader = hosts.last().unwrap();
    assert_complete(&reader.results("j1", 1).await);
}

#[tokio::test]
async fn jobs_of_a_failed_cell_are_taken_over_by_another() {
    let world = World::new(&["t1"]);
    let hosts = start(&world).await;
    world.engines.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    until("it runs", || world.engines.active() == 1).await;
    let (failed, remaining): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|h| cell_of(h) == "d0");
    failed.into_iter().for_each(Running::kill);
    let owner = next_owner(&remaining).await;
    assert!(!owner.starts_with("h0-"), "{owner}");
    world.engines.go();
    assert_complete(&remaining[0].results("j1", 1).await);
}

#[tokio::test]
async fn data_centre_refused_by_the_store_is_served_by_others() {
    let world = World::new(&["t1"]);
    let doors = doors(&world);
    let hosts = start_with_doors(&world, &doors).await;
    until("hosts know those of other cells", || {
        let with_store = hosts.iter().map(|h| h.ctx().peers_with_store());
        with_store.min() >= Some(2 * HOSTS)
    })
    .await;
    doors[0].close(true);
    until("the store is unavailable", || {
        hosts[..HOSTS].iter().all(|h| !h.ctx().is_store_up())
    })
    .await;
    world.configure(5, true);
    until("the routes are received from another cell", || {
        let tables = hosts[..HOSTS].iter().map(|h| h.ctx().table().unwrap());
        tables.into_iter().all(|table| table.version() == 5)
    })
    .await;
    hosts[0].submit("j1", 2, 10).await.unwrap();
    assert_complete(&hosts[1].results("j1", 2).await);
}
