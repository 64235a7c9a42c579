//! Memory for request bodies and answers, within the budget of the process.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use std::collections::BTreeMap;

use eelgrasshold_core::held::{Held, HoldId, Reservation};
use tokio_util::sync::CancellationToken;

use crate::runtime::Clock;

/// The budget of a process; clones share it.
#[derive(Clone)]
pub struct HeldBytes(Arc<Inner>);

struct Inner {
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    held: Held,
    /// Cancelled when the hold is evicted.
    tokens: BTreeMap<HoldId, CancellationToken>,
}

/// Bytes that count towards the budget until the hold is dropped.
pub struct Hold {
    budget: HeldBytes,
    id: HoldId,
    evicted: CancellationToken,
}

/// There is no memory for more bytes of a hold, or the hold was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

impl HeldBytes {
    /// Creates a budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let state = State {
            held: Held::new(capacity),
            tokens: BTreeMap::new(),
        };
        Self(Arc::new(Inner {
            clock: Clock::start(),
            state: Mutex::new(state),
        }))
    }

    /// Opens a hold without bytes. `announced` is the number that will arrive, if known.
    #[must_use]
    pub fn open(&self, announced: Option<usize>) -> Hold {
        let evicted = CancellationToken::new();
        let mut state = self.lock();
        let id = state.held.open(self.0.clock.now(), announced);
        state.tokens.insert(id, evicted.clone());
        Hold {
            budget: self.clone(),
            id,
            evicted,
        }
    }

    /// Reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lock().held.bytes()
    }

    /// Size of the budget, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.lock().held.capacity()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for HeldBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("HeldBytes").field(&self.bytes()).finish()
    }
}

impl fmt::Debug for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Hold").field(&self.id).finish()
    }
}

impl Hold {
    /// Extends the reservation to `bytes`, and evicts other holds where that is needed.
    ///
    /// # Errors
    ///
    /// If there is no room. The reservation stays as it was.
    pub fn reserve(&self, bytes: usize) -> Result<(), NoRoom> {
        let mut state = self.budget.lock();
        let now = self.budget.0.clock.now();
        match state.held.reserve(now, self.id, bytes) {
            Reservation::Refused => Err(NoRoom),
            Reservation::Granted(evicted) => {
                for id in evicted {
                    if let Some(token) = state.tokens.remove(&id) {
                        token.cancel();
                    }
                }
                Ok(())
            }
        }
    }

    /// Records that `arrived` bytes have arrived in all.
    pub fn record_arrived(&self, arrived: usize) {
        let now = self.budget.0.clock.now();
        let held = &mut self.budget.lock().held;
        held.record_arrived(now, self.id, arrived);
    }

    /// Keeps the bytes until the hold is dropped.
    ///
    /// # Errors
    ///
    /// If the hold was evicted.
    pub fn keep(&self) -> Result<(), NoRoom> {
        let kept = self.budget.lock().held.keep(self.id);
        if kept { Ok(()) } else { Err(NoRoom) }
    }

    /// Records that the bytes are being sent to a caller. The hold may be evicted from then on.
    pub fn leave(&self) {
        let now = self.budget.0.clock.now();
        self.budget.lock().held.leave(now, self.id);
    }

    /// Cancelled when the hold is evicted.
    #[must_use]
    pub fn evicted(&self) -> &CancellationToken {
        &self.evicted
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.held.close(self.id);
        state.tokens.remove(&self.id);
    }
}
