//! Rendezvous hashing (highest random weight): ranks hosts for a key.
//!
//! Hosts that know the same live hosts compute the same ranking without exchanging
//! messages, and when a host leaves, only its own keys move. The ranking is a preference
//! only; the lease records determine which host actually holds a shard or target.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the `count` hosts with the highest weights for `key`, in descending order of
/// weight.
///
/// ```
/// use notchwharf_ledger::rendezvous;
///
/// let hosts = ["a1", "a2", "a3"];
/// let ranked = rendezvous::top_ranked("shard-4", &hosts, 2);
/// let remaining: Vec<_> = hosts.into_iter().filter(|h| *h != ranked[0]).collect();
/// assert_eq!(rendezvous::top_ranked("shard-4", &remaining, 1), [ranked[1]]);
/// ```
pub fn top_ranked<'a>(key: &str, hosts: &[&'a str], count: usize) -> Vec<&'a str> {
    let seed = hash(key);
    let mut weighted: Vec<(u64, &str)> = hosts
        .iter()
        .map(|host| (xxh3_64_with_seed(host.as_bytes(), seed), *host))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, host)| host).collect()
}

/// Returns the weight of a host for `key`; the host with the highest weight ranks first.
pub fn weight(key: &str, host: &str) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), hash(key))
}

/// Returns a hash of a key that is the same on every host and in every release.
pub fn hash(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

/// Returns the shard to which a name belongs.
pub fn shard_of(name: &str, shards: u32) -> u32 {
    let index = hash(name) % u64::from(shards.max(1));
    u32::try_from(index).unwrap_or(0)
}
