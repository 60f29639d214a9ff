//! Memory budgets: how many bytes the node may hold on behalf of its clients and executors.

use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};

use bytes::Bytes;

/// The bytes that a group of holders may hold in total, beyond those that each may hold without a reservation.
pub(crate) struct MemoryBudget {
    size: isize,
    left: AtomicIsize,
}

impl MemoryBudget {
    /// The bytes that each connection may hold without a reservation; they count as part of the connection's own cost.
    const UNRESERVED_BYTES: usize = 4 * 1024;

    pub(super) fn new(bytes: usize) -> Self {
        let size = isize::try_from(bytes).unwrap_or(isize::MAX);
        Self { size, left: AtomicIsize::new(size) }
    }

    /// Returns a reservation of no bytes.
    pub(crate) fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: Arc::clone(self), size: 0 }
    }

    /// Returns a copy of `bytes` that is reserved until its last clone or slice is dropped, even beyond the budget.
    pub(crate) fn reserved_copy(self: &Arc<Self>, bytes: &[u8]) -> Bytes {
        let mut reservation = self.reservation();
        reservation.set_size(bytes.len());
        Bytes::from_owner(ReservedBytes { bytes: bytes.into(), _reservation: reservation })
    }

    /// Returns the number of reserved bytes.
    pub(super) fn reserved(&self) -> isize {
        self.size - self.left.load(Ordering::Relaxed)
    }
}

/// The part of a memory budget that one holder has reserved.
pub(crate) struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    size: usize,
}

impl MemoryReservation {
    /// Sets the size in bytes of what the connection has allocated. Returns false if that is more than before and exceeds
    /// the budget; the bytes are reserved even then.
    pub(crate) fn resize(&mut self, allocated: usize) -> bool {
        self.set_size(allocated.saturating_sub(MemoryBudget::UNRESERVED_BYTES))
    }

    /// Sets the number of reserved bytes. Returns false if that is more than before and exceeds the budget.
    fn set_size(&mut self, size: usize) -> bool {
        let more = size.cast_signed() - self.size.cast_signed();
        self.size = size;
        let left = self.budget.left.fetch_sub(more, Ordering::Relaxed) - more;
        more <= 0 || left >= 0
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.set_size(0);
    }
}

/// Bytes and the reservation for them.
struct ReservedBytes {
    bytes: Box<[u8]>,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
