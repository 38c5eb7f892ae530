//! Evacuated data centres.

use notchwharf_config::evacuation::Evacuated;
use notchwharf_config::evacuation::Record;

fn record(offset: u64, is_evacuated: bool) -> Record {
    Record {
        data_centre: "d".to_owned(),
        offset,
        is_evacuated,
    }
}

/// Returns the state after an evacuation that has ended.
fn ended() -> Evacuated {
    let mut evacuated = Evacuated::default();
    assert!(evacuated.apply(None, &[record(3, true)]));
    assert!(evacuated.apply(None, &[record(4, false)]));
    evacuated
}

/// Guards against an ended evacuation that is in force again for good: a read of its start was
/// applied after a newer one, as a large configuration was decoded meanwhile.
#[test]
fn a_late_record_does_not_restore_an_ended_evacuation() {
    let mut evacuated = ended();
    assert!(!evacuated.apply(None, &[record(3, true)]));
    assert_eq!(evacuated, ended());
}

#[test]
fn a_late_listing_does_not_restore_an_ended_evacuation() {
    let mut evacuated = ended();
    assert!(!evacuated.apply(Some(4), &[record(3, true)]));
    assert_eq!(evacuated, ended());
}

#[test]
fn an_evacuation_missing_from_a_listing_has_ended() {
    let mut evacuated = Evacuated::default();
    assert!(evacuated.apply(None, &[record(3, true)]));
    assert!(evacuated.apply(Some(9), &[]));
    assert_eq!(evacuated.version, 9);
    assert!(evacuated.data_centres.is_empty());
}

#[test]
fn only_a_newer_state_of_another_host_replaces_this_one() {
    let mut evacuated = Evacuated::default();
    assert!(evacuated.apply(None, &[record(3, true)]));
    let older = evacuated.clone();
    assert!(evacuated.replace(ended()));
    assert!(!evacuated.replace(older));
    assert_eq!(evacuated, ended());
}
