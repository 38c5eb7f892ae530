//! Origins of streams: the service and the software version at which each began.
//!
//! Targets of several versions may serve side by side, and a stream has events of one version
//! only. Within a response the host knows it. A caller that takes an interrupted stream up
//! again may reach any host, and names only the id of the request that brought the first
//! event. So the host that forwards a first event records its origin in an [`Origins`] table,
//! and sends copies to the hosts that [`holders::ranked`] returns for the id, in several data
//! centres. A host without the record asks the hosts of the same ranking.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use notchwharf_origins::{Lookup, Origin, Origins, key};
//!
//! let now = Instant::now();
//! let mut origins = Origins::new(1_000);
//! let origin = Origin { service: "s".into(), version: "v1".into() };
//! let stream = key(None, "a.example", "r1");
//! origins.record(stream, &origin, now + Duration::from_secs(9), now);
//! assert!(matches!(origins.get(stream, now), Lookup::Known { origin: known, .. } if *known == origin));
//! assert!(matches!(origins.get(key(None, "a.example", "r2"), now), Lookup::Unknown));
//! ```
//!
//! A record is positive evidence. Without one the stream may have begun at any version, and
//! it does not go on: a copy that is lost or late costs a stream, and never joins two
//! versions. The alternatives rejected are compared in `docs/design/stream-versions.md`.

pub mod history;
pub mod holders;
mod table;

pub use self::table::Lookup;
pub use self::table::Origin;
pub use self::table::Origins;
pub use self::table::StreamKey;
pub use self::table::key;
