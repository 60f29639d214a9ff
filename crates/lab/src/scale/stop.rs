//! When a run ends before its work is done: on an interrupt, or when its time is over.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};

/// Why a run ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Stopped {
    #[error("interrupted; all that was started has been ended")]
    Interrupted,
    #[error("span-s: the time is over; all that was started has been ended")]
    OutOfTime,
}

/// Told to everything that waits or loops during a run.
#[derive(Clone, Debug)]
pub struct Stop {
    interrupted: Arc<AtomicBool>,
    end: Instant,
}

impl Stop {
    /// A run that may last this long.
    #[must_use]
    pub fn after(span: Duration) -> Self {
        Self { interrupted: Arc::default(), end: Instant::now() + span }
    }

    /// Takes SIGINT and SIGTERM for an interrupt from now on.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn on_signals(&self) -> io::Result<()> {
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, Arc::clone(&self.interrupted))?;
        }
        Ok(())
    }

    /// # Errors
    ///
    /// The run is to end now.
    pub fn check(&self) -> Result<(), Stopped> {
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(Stopped::Interrupted);
        }
        if Instant::now() >= self.end {
            return Err(Stopped::OutOfTime);
        }
        Ok(())
    }
}
