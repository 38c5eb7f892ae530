//! Hosts that hold the copy of an origin.
//!
//! The ranking needs no agreement: it depends on the stream and on each host's name and data
//! centre, so hosts that know nearly the same hosts compute nearly the same ranking. The first
//! places are in different data centres, since the hosts of one may be lost together.

use std::collections::BTreeMap;

use notchwharf_ledger::rendezvous;

use crate::StreamKey;

/// Number of hosts to which an origin is copied.
pub const COPIES: usize = 3;

/// Number of hosts that are asked for an origin: those with a copy, and those that rank next, as
/// the host that sent the copies may have known other hosts.
pub const ASKED_MAX: usize = 3 * COPIES;

/// A host that may hold a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub host: &'a str,
    /// Its data centre; empty if it is not known.
    pub data_centre: &'a str,
}

/// Returns up to `count` hosts for a stream in order of rank: the first host of each data centre,
/// then the second of each, and so on.
///
/// ```
/// use notchwharf_origins::holders::{Candidate, ranked};
///
/// let at = |host, data_centre| Candidate { host, data_centre };
/// let hosts = [at("a1", "a"), at("a2", "a"), at("b1", "b")];
/// let first = ranked(7, hosts, 2);
/// assert!(first.contains(&"b1") && first.len() == 2);
/// assert_eq!(ranked(7, hosts, 9).len(), 3);
/// ```
pub fn ranked<'a>(
    key: StreamKey,
    hosts: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<&'a str> {
    let key = format!("{key:032x}");
    let mut by_data_centre: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for candidate in hosts {
        let weight = rendezvous::weight(&key, candidate.host);
        let local = by_data_centre.entry(candidate.data_centre).or_default();
        local.push((weight, candidate.host));
    }
    let names: Vec<&str> = by_data_centre.keys().copied().collect();
    let order = rendezvous::top_ranked(&key, &names, names.len());
    let mut lists = Vec::with_capacity(order.len());
    for name in order {
        let mut local = by_data_centre.remove(name).unwrap_or_default();
        let keep = count.min(local.len());
        if keep > 0 && keep < local.len() {
            local.select_nth_unstable_by(keep - 1, |a, b| b.cmp(a));
            local.truncate(keep);
        }
        local.sort_unstable_by(|a, b| b.cmp(a));
        lists.push(local.into_iter());
    }
    let mut ranked = Vec::with_capacity(count);
    while ranked.len() < count {
        let before = ranked.len();
        for list in &mut lists {
            ranked.extend(list.next().map(|(_, host)| host));
        }
        if ranked.len() == before {
            break;
        }
    }
    ranked.truncate(count);
    ranked
}
