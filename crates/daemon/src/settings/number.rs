//! Numbers in the settings.

use std::time::Duration;

use serde::Deserialize;
use serde::de::{Deserializer, Error};
use serde_json::value::RawValue;

/// A duration, count or ratio in the settings. Platforms may fill in `true` or `false` in place of a number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Number {
    /// Left out, `null` or `false`.
    #[default]
    Unset,
    /// `true`: the default is in force.
    On,
    /// Any JSON number; infinite if it is too large for an `f64`.
    Given(f64),
}

impl Number {
    /// The number, if there is one.
    pub fn given(self) -> Option<f64> {
        match self {
            Self::Given(number) => Some(number),
            Self::Unset | Self::On => None,
        }
    }

    /// Whether a setting without a default is in force.
    pub fn is_set(self) -> bool {
        self != Self::Unset
    }

    /// Duration of that many seconds.
    pub fn seconds(self) -> Option<Duration> {
        let seconds = self.given()?;
        Some(Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX))
    }

    /// Duration of that many milliseconds.
    pub fn millis(self) -> Option<Duration> {
        self.given().map(|ms| Self::Given(ms / 1_000.0))?.seconds()
    }

    /// The number as a count, without its fraction.
    pub fn count(self) -> Option<usize> {
        // The conversion saturates.
        self.given().map(|number| number as usize)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // From the text, since serde_json's error about a number beyond `f64` names neither it nor its range.
        let json = Box::<RawValue>::deserialize(deserializer)?;
        match json.get() {
            "null" | "false" => Ok(Self::Unset),
            "true" => Ok(Self::On),
            text => text.parse().map(Self::Given).map_err(|_| {
                D::Error::custom(format!("must be a number, true or false, is {text}"))
            }),
        }
    }
}
