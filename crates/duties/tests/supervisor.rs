//! Duties that end, and what is known of them.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use notchwharf_duties::Config;
use notchwharf_duties::End;
use notchwharf_duties::Event;
use notchwharf_duties::Supervisor;

/// What was reported so far.
type Events = Arc<Mutex<Vec<Event>>>;

fn supervisor() -> (Supervisor, Events) {
    let events = Events::default();
    let reported = Arc::clone(&events);
    let report = move |event: &Event| reported.lock().unwrap().push(event.clone());
    (Supervisor::new(Config::default(), report), events)
}

/// Lets tasks run for a time, in virtual time.
async fn run_for(time: Duration) {
    tokio::time::sleep(time).await;
}

#[tokio::test(start_paused = true)]
async fn duty_that_panics_is_down_until_it_has_run_for_a_while() {
    let (supervisor, events) = supervisor();
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&starts);
    supervisor.spawn(
        "reader",
        || false,
        move || {
            let start = counted.fetch_add(1, Ordering::Relaxed);
            async move {
                assert!(start >= 3, "start {start}");
                std::future::pending().await
            }
        },
    );
    run_for(Duration::from_millis(100)).await;
    assert_eq!(supervisor.down(), ["reader"]);
    run_for(Duration::from_millis(1_000)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 4);
    assert!(!supervisor.are_all_up());
    run_for(Duration::from_millis(2_000)).await;
    assert!(supervisor.are_all_up());
    let ended = |start| Event::Ended {
        duty: "reader",
        end: End::Panicked(format!("start {start}")),
    };
    let recovered = Event::Recovered { duty: "reader" };
    let expected = [ended(0), ended(1), ended(2), recovered];
    assert_eq!(*events.lock().unwrap(), expected);
}

#[tokio::test(start_paused = true)]
async fn duty_that_returns_early_is_started_again() {
    let (supervisor, events) = supervisor();
    let may_end = Arc::new(AtomicBool::new(false));
    let (is_over, starts) = (Arc::clone(&may_end), Arc::new(AtomicUsize::new(0)));
    let counted = Arc::clone(&starts);
    supervisor.spawn(
        "reader",
        move || is_over.load(Ordering::Relaxed),
        move || {
            counted.fetch_add(1, Ordering::Relaxed);
            std::future::ready(())
        },
    );
    run_for(Duration::from_millis(500)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    assert_eq!(supervisor.down(), ["reader"]);
    may_end.store(true, Ordering::Relaxed);
    run_for(Duration::from_millis(500)).await;
    assert_eq!(starts.load(Ordering::Relaxed), 4);
    assert!(supervisor.are_all_up());
    assert_eq!(events.lock().unwrap().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn duties_of_one_name_are_counted() {
    let (supervisor, _) = supervisor();
    let fails = Arc::new(AtomicBool::new(true));
    for number in 0..2 {
        let fails = Arc::clone(&fails);
        supervisor.spawn(
            "listener",
            || false,
            move || {
                let ends = number == 0 || fails.load(Ordering::Relaxed);
                async move {
                    if !ends {
                        std::future::pending::<()>().await;
                    }
                }
            },
        );
    }
    run_for(Duration::from_millis(300)).await;
    fails.store(false, Ordering::Relaxed);
    run_for(Duration::from_secs(5)).await;
    assert_eq!(supervisor.down(), ["listener"]);
}
