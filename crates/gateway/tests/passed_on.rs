//! Calls about jobs at a host that does not reach the store while a peer does.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

mod world;

use std::time::Duration;

use notchwharf_gateway::error::JobError;
use notchwharf_gateway::jobs;
use rstest::rstest;
use world::TOKENS_MAX;
use world::World;
use world::close;
use world::start_with_a_door as start;
use world::targets::item_text;
use world::until;

#[tokio::test]
async fn a_job_is_taken_in_read_and_ended_through_a_host_without_the_store() {
    let world = World::new(&["t1"]);
    let (a1, door, _a2) = start(&world).await;
    close(&a1, &door).await;
    a1.submit("j1", 3, 10).await.unwrap();
    let results = a1.results("j1", 3).await;
    for result in &results {
        let text = result.text.as_ref().unwrap();
        assert_eq!(text, &item_text(&result.item));
    }
    world.engines.hold();
    a1.submit("j2", 1, 10).await.unwrap();
    let body = jobs::body(a1.ctx(), "j2", "j2-0").await.unwrap();
    assert_eq!(body, "body of 0");
    jobs::end(a1.ctx(), "j2").await.unwrap();
    until("its item is cut", || world.engines.active() == 0).await;
}

#[tokio::test]
async fn a_job_submitted_through_a_host_without_the_store_is_accepted_once() {
    let world = World::new(&["t1"]);
    let (a1, door, a2) = start(&world).await;
    close(&a1, &door).await;
    a1.submit("j1", 2, 10).await.unwrap();
    a2.submit("j1", 2, 10).await.unwrap();
    a1.submit("j1", 2, 10).await.unwrap();
    assert_eq!(a2.results("j1", 2).await.len(), 2);
    for item in ["j1-0", "j1-1"] {
        assert_eq!(world.engines.runs(item).len(), 1, "{item}");
    }
}

#[tokio::test]
async fn what_a_peer_says_of_a_job_is_said() {
    let world = World::new(&["t1"]);
    let (a1, door, _a2) = start(&world).await;
    close(&a1, &door).await;
    let too_much = u32::try_from(TOKENS_MAX).unwrap() + 1;
    let err = a1.submit("j1", 1, too_much).await.unwrap_err();
    assert!(matches!(err, JobError::OverQuota { .. }), "{err:?}");
    let none = jobs::read(a1.ctx(), "j1", 0, Duration::ZERO).await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
    let none = jobs::body(a1.ctx(), "j1", "j1-0").await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
    let none = jobs::end(a1.ctx(), "j1").await;
    assert_eq!(none.unwrap_err(), JobError::NotFound);
}

#[rstest]
#[case::a_peer_that_died(true)]
#[case::a_peer_that_lost_the_store_too(false)]
#[tokio::test]
async fn without_a_peer_that_can_a_job_is_refused_as_not_run(#[case] dies: bool) {
    let world = World::new(&["t1"]);
    let (a1, door, a2) = start(&world).await;
    close(&a1, &door).await;
    if dies {
        a2.kill();
    } else {
        world.store.close(true);
    }
    let err = a1.submit("j1", 1, 10).await.unwrap_err();
    assert!(matches!(err, JobError::NotNow { .. }), "{err:?}");
    assert_eq!(world.engines.runs("j1-0"), []);
}
