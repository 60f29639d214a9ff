//! A small embedded store: append-only segments of checksummed records, an index in memory, checkpoints of it,
//! compaction, and a stated moment from which a record lasts. It knows nothing of what it keeps.
//!
//! What a store promises: after [`Store::commit`] has returned, its records are there whatever is cut; and what
//! can't be told apart from damage is refused, never passed over. The form is in `docs/store.md`.

mod disk;
mod form;
mod store;

pub use disk::{Disk, Folder};
pub use form::{FORM, Fault, LARGEST};
pub use store::{Damage, Entry, Limits, Op, Stats, Store, repair};
