//! Requests that arrive before their host has loaded the data that they depend on.

use std::time::Duration;
use std::time::Instant;

use notchwharf_startup::Dependency;
use notchwharf_startup::Startup;
use rstest::rstest;

/// Exceeds the duration of any test.
const LONG: Duration = Duration::from_secs(60);

fn startup(wait_max: Duration) -> Startup {
    Startup::new(wait_max, slog::Logger::root(slog::Discard, slog::o!()))
}

#[rstest]
#[case(Dependency::Routes)]
#[case(Dependency::Targets)]
#[case(Dependency::Suspects)]
#[case(Dependency::Limits)]
#[case(Dependency::Versions)]
#[case(Dependency::Departures)]
#[tokio::test]
async fn a_waiting_request_proceeds_once_the_dependency_is_ready(#[case] dependency: Dependency) {
    let startup = startup(LONG);
    let wait = startup.wait_ready_until(dependency, Instant::now() + LONG);
    let load = async { startup.mark_ready(dependency, "store") };
    let (is_ready, ()) = tokio::join!(wait, load);
    assert!(is_ready);
}

#[rstest]
#[case::up_to_the_maximum_wait(Duration::ZERO, LONG)]
#[case::up_to_its_deadline(LONG, Duration::ZERO)]
#[tokio::test]
async fn a_request_waits_for_a_limited_time(
    #[case] wait_max: Duration,
    #[case] time_left: Duration,
) {
    let startup = startup(wait_max);
    startup.mark_ready(Dependency::Targets, "store");
    assert!(
        !startup
            .wait_ready_until(Dependency::Routes, Instant::now() + time_left)
            .await
    );
}

#[tokio::test]
async fn a_ready_dependency_stays_ready_and_needs_no_wait() {
    let startup = startup(Duration::ZERO);
    startup.mark_ready(Dependency::Routes, "store");
    startup.mark_ready(Dependency::Routes, "peer");
    assert!(startup.is_ready(Dependency::Routes));
    assert!(
        startup
            .wait_ready_until(Dependency::Routes, Instant::now())
            .await
    );
}
