//! Which host should hold what, by highest random weight.
//!
//! Hosts that see the same live hosts agree without a message, and a host that
//! leaves moves only what it held. It is advice: what a host does hold is for
//! the lease records to say.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the `count` best of `hosts` for `key`, best first.
///
/// ```
/// use notchwharf_ledger::rendezvous;
///
/// let hosts = ["a1", "a2", "a3"];
/// let all = rendezvous::top_ranked("shard-4", &hosts, 2);
/// let rest: Vec<_> = hosts.into_iter().filter(|h| *h != all[0]).collect();
/// assert_eq!(rendezvous::top_ranked("shard-4", &rest, 1), [all[1]]);
/// ```
pub fn top_ranked<'a>(key: &str, hosts: &[&'a str], count: usize) -> Vec<&'a str> {
    let seed = hash(key);
    let mut scored: Vec<(u64, &str)> = hosts
        .iter()
        .map(|host| (xxh3_64_with_seed(host.as_bytes(), seed), *host))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.truncate(count);
    scored.into_iter().map(|(_, host)| host).collect()
}

/// Returns the weight of a host for `key`; the host with the highest weight ranks first.
pub fn weight(key: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), hash(key))
}

/// Returns a hash of a name that is the same on every host and release.
pub fn hash(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

/// Returns the shard that a name belongs to.
pub fn shard_of(name: &str, shards: u32) -> u32 {
    let index = hash(name) % u64::from(shards.max(1));
    u32::try_from(index).unwrap_or(0)
}
