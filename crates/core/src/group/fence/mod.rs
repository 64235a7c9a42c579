//! Fencing of orders to an engine: refuses orders with a number below the highest seen.
//!
//! An engine that checks numbers reports the highest one it accepted. For an engine that ignores
//! them, the number is read from the lease object in the platform, since a holder writes it there
//! before it sends its first order. No order is admitted until the number is known.

#[cfg(test)]
mod tests;

use snafu::Snafu;

use super::map::FenceNumber;

/// Reason why an order was not passed to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FenceError {
    /// The highest number is not known yet; the order may be sent again.
    #[snafu(display("the highest fencing number is not known yet; send the order again"))]
    Unknown,
    /// A planner with a higher number has taken over.
    #[snafu(display(
        "fencing number {number} is below {highest}: another planner has taken over; acquire the lease again"
    ))]
    Stale {
        /// Number of the refused order.
        number: FenceNumber,
        /// Highest number seen.
        highest: FenceNumber,
    },
}

/// Highest fencing number that the process of an engine has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    known: bool,
    highest: FenceNumber,
}

impl Fence {
    /// Raises the highest number, and marks it as known. `number` must be at least as high as that
    /// of any order the engine received before the process started.
    pub fn observe(&mut self, number: FenceNumber) {
        self.known = true;
        self.highest = self.highest.max(number);
    }

    /// Whether the engine's highest number is known, so that orders can be admitted.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Highest number seen so far, even if it isn't known to be the engine's highest.
    #[must_use]
    pub fn highest(&self) -> FenceNumber {
        self.highest
    }

    /// Admits an order with this number; from then on lower numbers are refused.
    ///
    /// # Errors
    ///
    /// [`FenceError::Stale`] if a higher number was seen, [`FenceError::Unknown`] if the engine's
    /// highest number isn't known yet.
    pub fn admit(&mut self, number: FenceNumber) -> Result<(), FenceError> {
        if number < self.highest {
            return Err(FenceError::Stale {
                number,
                highest: self.highest,
            });
        }
        // Lower numbers are refused from now on, even if the engine's highest number isn't known
        // yet.
        self.highest = number;
        if self.known {
            Ok(())
        } else {
            Err(FenceError::Unknown)
        }
    }
}
