//! Requests that come before their host has what they need.

use std::time::Duration;
use std::time::Instant;

use notchwharf_startup::Dependency;
use notchwharf_startup::Startup;
use rstest::rstest;

/// Longer than any test takes.
const LONG: Duration = Duration::from_secs(60);

fn startup(wait: Duration) -> Startup {
    Startup::new(wait, slog::Logger::root(slog::Discard, slog::o!()))
}

#[rstest]
#[case(Dependency::Routes)]
#[case(Dependency::Targets)]
#[case(Dependency::Suspects)]
#[case(Dependency::Limits)]
#[tokio::test]
async fn whoever_waits_goes_on_when_it_is_there(#[case] dependency: Dependency) {
    let startup = startup(LONG);
    let waits = startup.wait_ready_until(dependency, Instant::now() + LONG);
    let gets = async { startup.mark_ready(dependency, "store") };
    let (is_there, ()) = tokio::join!(waits, gets);
    assert!(is_there);
}

#[rstest]
#[case::as_long_as_a_request_may(Duration::ZERO, LONG)]
#[case::at_most_until_its_deadline(LONG, Duration::ZERO)]
#[tokio::test]
async fn it_waits(#[case] wait: Duration, #[case] left: Duration) {
    let startup = startup(wait);
    startup.mark_ready(Dependency::Targets, "store");
    assert!(
        !startup
            .wait_ready_until(Dependency::Routes, Instant::now() + left)
            .await
    );
}

#[tokio::test]
async fn what_is_there_stays_there_and_needs_no_time() {
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
