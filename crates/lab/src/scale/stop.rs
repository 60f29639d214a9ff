//! Ends a run early, on SIGINT or SIGTERM or when its time limit expires.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};

/// Why a run ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Stopped {
    /// SIGINT or SIGTERM arrived.
    #[error("interrupted; all started processes have been ended")]
    Interrupted,
    /// The time limit expired.
    #[error("span-s: the time limit has expired; all started processes have been ended")]
    OutOfTime,
}

/// Tells everything that waits or loops during a run when to end. Clones share the state of the interrupt.
#[derive(Clone, Debug)]
pub struct Stop {
    interrupted: Arc<AtomicBool>,
    deadline: Instant,
}

impl Stop {
    /// Creates the stop condition of a run that may take this long from now.
    #[must_use]
    pub fn after(span: Duration) -> Self {
        Self { interrupted: Arc::default(), deadline: Instant::now() + span }
    }

    /// Handles SIGINT and SIGTERM as an interrupt of the run from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if a signal handler cannot be installed.
    pub fn on_signals(&self) -> io::Result<()> {
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&self.interrupted))?;
        }
        Ok(())
    }

    /// Checks whether the run may continue.
    ///
    /// # Errors
    ///
    /// Returns the reason if the run must end now.
    pub fn check(&self) -> Result<(), Stopped> {
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(Stopped::Interrupted);
        }
        if Instant::now() >= self.deadline {
            return Err(Stopped::OutOfTime);
        }
        Ok(())
    }
}
