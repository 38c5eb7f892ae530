//! Orders to targets: a single lease holder, increasing fencing tokens, no lost order.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use notchwharf_standins::engine;
use notchwharf_standins::fleet::Config;
use notchwharf_standins::fleet::Fleet;
use notchwharf_standins::fleet::school_bundle;
use rstest::rstest;

#[rstest]
#[case::fencing_checked(true)]
#[case::fencing_not_checked(false)]
#[tokio::test]
async fn fencing_tokens_increase_across_lease_holders(#[case] checks_fencing: bool) {
    let config = Config {
        hosts: 2,
        engine: engine::Config {
            checks_fencing,
            ..engine::Config::default()
        },
        ..Config::default()
    };
    let mut fleet = Fleet::ready(config).await;
    fleet.kill_host("a2");
    fleet.activate_bundle(&school_bundle("2")).await;
    fleet.wait_loaded("tutor/-/2").await;
    fleet.start_host("a3").await;
    fleet.activate_bundle(&school_bundle("3")).await;
    fleet.wait_loaded("tutor/-/3").await;
    let mut changed = 0;
    for engine in fleet.engines.values() {
        let fences: Vec<u64> = engine.orders().iter().map(|o| o.fence).collect();
        assert!(fences.is_sorted(), "{fences:?}");
        changed += usize::from(fences.first() != fences.last());
    }
    assert!(changed > 0, "No target changed its lease holder.");
}
