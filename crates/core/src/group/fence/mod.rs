//! Fence in front of an engine: no order below the highest number seen passes.
//!
//! An engine that checks numbers reports the highest one it took, so the fence
//! learns it from the engine's state. An engine that ignores them knows
//! nothing, so the number is read from the lease in the platform: it was
//! written there before its holder gave the first order. Until then the fence
//! passes nothing on.

#[cfg(test)]
mod tests;

use snafu::Snafu;

use super::map::FenceNumber;

/// Why an order was not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum FenceError {
    /// The highest number is not known yet; the order may be sent again.
    #[snafu(display("the highest fencing number is not known yet; send the order again"))]
    Unknown,
    /// Another planner took over.
    #[snafu(display(
        "order {number} is older than {highest}: another planner took over, take the lease again"
    ))]
    Stale {
        /// Number of the order.
        number: FenceNumber,
        /// Highest number seen.
        highest: FenceNumber,
    },
}

/// The highest fencing number that one engine's process has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fence {
    learned: bool,
    highest: FenceNumber,
}

impl Fence {
    /// Takes a number that is at least as high as any that the engine was given.
    pub fn learn(&mut self, number: FenceNumber) {
        self.learned = true;
        self.highest = self.highest.max(number);
    }

    /// Whether the number that the engine was last given is known.
    #[must_use]
    pub fn is_learned(&self) -> bool {
        self.learned
    }

    /// Highest number seen.
    #[must_use]
    pub fn highest(&self) -> FenceNumber {
        self.highest
    }

    /// Lets an order with this number pass, and nothing older after it.
    ///
    /// # Errors
    ///
    /// If a higher number was seen, or the highest one isn't known yet.
    pub fn admit(&mut self, number: FenceNumber) -> Result<(), FenceError> {
        if number < self.highest {
            return Err(FenceError::Stale {
                number,
                highest: self.highest,
            });
        }
        // A higher number closes the fence for older ones even before the number is learned.
        self.highest = number;
        if self.learned {
            Ok(())
        } else {
            Err(FenceError::Unknown)
        }
    }
}
