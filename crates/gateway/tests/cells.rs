//! A fleet in cells: who hears whom, and who looks after whose jobs.
//!
//! Data centres of three hosts stand for some of sixty: the settings say how many
//! hosts make a cell.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use notchwharf_gateway::jobs::ItemResult;
use world::Running;
use world::World;
use world::store::ScriptedStore;
use world::targets::item_text;
use world::until;

const DATA_CENTRES: usize = 4;
/// Hosts of a data centre, and of a cell at most.
const HOSTS: usize = 3;

/// Starts a fleet whose data centres reach the store through doors of their own.
async fn start_apart(world: &World, doors: &[ScriptedStore]) -> Vec<Running> {
    let mut hosts = Vec::new();
    for number in 0..DATA_CENTRES * HOSTS {
        let place = number / HOSTS;
        let name = format!("h{place}-{number}");
        let started = world.start_apart(&name, doors[place].clone(), |settings| {
            settings.host.data_centre = format!("d{place}");
            settings.peers.cell_hosts_max = u32::try_from(HOSTS).unwrap();
            // Items are held until all hosts have heard of them.
            settings.batch.stall_ms = 10_000;
        });
        hosts.push(started.await);
    }
    for host in &hosts {
        host.until_ready().await;
    }
    until("hosts hear those of their cells, and no others", || {
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
    start_apart(world, &doors(world)).await
}

fn cell_of(host: &Running) -> &str {
    &host.ctx().settings.host.data_centre
}

/// Waits until another host than the one that took the job in owns it, as the first of
/// the hosts knows: one that has no part in a job reads its records every two seconds.
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

fn assert_whole(results: &[ItemResult]) {
    for result in results {
        assert_eq!(result.text.as_ref().unwrap(), &item_text(&result.item));
    }
}

#[tokio::test]
async fn a_job_is_done_once_and_read_at_every_cell() {
    let world = World::new(&["t1", "t2"]);
    let hosts = start(&world).await;
    hosts[0].submit("j1", 4, 10).await.unwrap();
    for host in &hosts {
        assert_whole(&host.results("j1", 4).await);
    }
    for item in 0..4 {
        assert_eq!(world.engines.runs(&format!("j1-{item}")).len(), 1);
    }
}

#[tokio::test]
async fn what_a_cell_runs_is_known_in_all_others() {
    // Two places each, one of all of which stays free for online requests.
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
    until("and their ends", || hosts.iter().all(|h| items(h) == 0)).await;
}

#[tokio::test]
async fn a_dead_host_s_job_is_taken_over_in_its_cell() {
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
    assert_whole(&reader.results("j1", 1).await);
}

#[tokio::test]
async fn the_jobs_of_a_cell_that_is_gone_are_taken_over_by_another() {
    let world = World::new(&["t1"]);
    let hosts = start(&world).await;
    world.engines.hold();
    hosts[0].submit("j1", 1, 10).await.unwrap();
    until("it runs", || world.engines.active() == 1).await;
    let (gone, left): (Vec<_>, Vec<_>) = hosts.into_iter().partition(|h| cell_of(h) == "d0");
    gone.into_iter().for_each(Running::kill);
    let owner = next_owner(&left).await;
    assert!(!owner.starts_with("h0-"), "{owner}");
    world.engines.go();
    assert_whole(&left[0].results("j1", 1).await);
}

#[tokio::test]
async fn a_data_centre_that_the_store_turns_away_is_helped_by_others() {
    let world = World::new(&["t1"]);
    let doors = doors(&world);
    let hosts = start_apart(&world, &doors).await;
    until("hosts have heard those of other cells", || {
        let heard = hosts.iter().map(|h| h.ctx().peers_with_store());
        heard.min() >= Some(2 * HOSTS)
    })
    .await;
    doors[0].close(true);
    until("the store is lost", || {
        hosts[..HOSTS].iter().all(|h| !h.ctx().is_store_up())
    })
    .await;
    world.configure(5, true);
    until("the routes came from another cell", || {
        let tables = hosts[..HOSTS].iter().map(|h| h.ctx().table().unwrap());
        tables.into_iter().all(|table| table.version() == 5)
    })
    .await;
    hosts[0].submit("j1", 2, 10).await.unwrap();
    assert_whole(&hosts[1].results("j1", 2).await);
}
