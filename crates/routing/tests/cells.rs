//! Division of a fleet into cells, and transitions when the fleet grows.
#![allow(clippy::unwrap_used, reason = "Tests fail by panicking.")]

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use notchwharf_routing::cells::Cells;
use notchwharf_routing::cells::Division;
use rstest::rstest;

const CELL_HOSTS_MAX: usize = 96;

fn cells_for(hosts: &[usize]) -> Cells {
    Cells::for_fleet(hosts.iter().copied(), CELL_HOSTS_MAX)
}

/// Returns the names of the cells of a fleet.
fn cell_names(hosts: &[usize]) -> BTreeSet<String> {
    let cells = cells_for(hosts);
    let mut names = BTreeSet::new();
    for (number, hosts) in hosts.iter().enumerate() {
        let data_centre = format!("d{number}");
        names.extend(
            (0..*hosts).map(|host| cells.name_of((&format!("{number}-{host}"), &data_centre))),
        );
    }
    names
}

#[rstest]
#[case::one_host(&[1], 1)]
#[case::largest_undivided_fleet(&[32, 32, 32], 1)]
#[case::one_host_more(&[33, 32, 32], 3)]
#[case::five_data_centres(&[54, 61, 61, 63, 56], 5)]
#[case::many_small_ones(&[19; 19], 19)]
#[case::one_too_large(&[97], 2)]
#[case::one_of_two_too_large(&[20, 300], 8)]
fn a_large_fleet_has_at_least_one_cell_per_data_centre(
    #[case] hosts: &[usize],
    #[case] cells: usize,
) {
    assert_eq!(cell_names(hosts).len(), cells);
}

#[test]
fn hosts_are_in_the_same_cell_if_their_cells_have_the_same_name() {
    let cells = cells_for(&[20, 300]);
    let hosts: Vec<(String, &str)> = (0..200)
        .map(|number| (format!("h{number}"), ["d0", "d1"][number % 2]))
        .collect();
    for (one, one_data_centre) in &hosts {
        for (other, other_data_centre) in &hosts {
            let are_in_same_cell =
                cells.are_in_same_cell((one, one_data_centre), (other, other_data_centre));
            let have_same_name =
                cells.name_of((one, one_data_centre)) == cells.name_of((other, other_data_centre));
            assert_eq!(are_in_same_cell, have_same_name);
        }
    }
}

#[test]
fn splitting_a_cell_does_not_mix_it_with_others() {
    let (few, many) = (cells_for(&[190]), cells_for(&[200]));
    let names: Vec<String> = (0..200).map(|number| format!("h{number}")).collect();
    for one in &names {
        for other in &names {
            let are_in_same_cell = |cells: Cells| cells.are_in_same_cell((one, "d"), (other, "d"));
            assert!(!are_in_same_cell(many) || are_in_same_cell(few));
        }
    }
}

#[test]
fn hosts_also_send_to_their_previous_cell_after_a_change() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut division = Division::new(CELL_HOSTS_MAX);
    assert!(!division.note_hosts([45, 45], at(0)));
    assert!(division.note_hosts([50, 50], at(1)));
    assert!(division.cells().is_divided());
    assert!(!division.broadcast_cells(at(2)).is_divided());
    assert!(division.broadcast_cells(at(7)).is_divided());
    // Fewer hosts form one cell; those of the previous cells may not know it yet.
    assert!(division.note_hosts([40, 40], at(8)));
    assert!(!division.broadcast_cells(at(9)).is_divided());
}

/// Guards against a starting host sending its state to every host of a divided fleet.
#[test]
fn the_first_host_list_of_a_divided_fleet_starts_no_transition() {
    let now = Instant::now();
    let mut division = Division::new(CELL_HOSTS_MAX);
    assert!(division.note_hosts([50, 50], now));
    assert!(division.broadcast_cells(now).is_divided());
    assert!(!division.note_hosts([50, 51], now));
    assert!(division.broadcast_cells(now).is_divided());
}
