//! What hosts tell each other about ends of upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{FeatureId, FeatureSet};
use crate::gateway::registry::UpstreamId;
use crate::platform::Era;

/// Age from which ends and answers are not read from the store any more: they are about to be dropped.
pub(super) const MAX_STORED_AGE: Duration = Duration::from_secs(290);

/// Report of a host to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Report {
    /// An upstream ended under a request.
    End {
        /// The upstream.
        upstream: UpstreamId,
        /// Time since it ended.
        age: Duration,
        /// Whether it had begun to answer just before.
        at_begin: bool,
        /// Features of the request.
        features: Vec<FeatureId>,
    },
    /// A request with these features was answered.
    Sound {
        /// Features of the request.
        features: Vec<FeatureId>,
        /// Time since the answer.
        age: Duration,
    },
    /// Requests with all of these features are refused.
    Refused {
        /// Features that only requests which have all of them are refused for.
        features: FeatureSet,
        /// Time since the last end that they explain.
        ended: Duration,
        /// Time for which they are still refused.
        left: Duration,
        /// Era in which the store had them; `None` if it may never have had them.
        saved_in: Option<Era>,
    },
}

impl Report {
    /// Whether another host that reads the report in the store still has a use for it.
    #[must_use]
    pub fn is_recent(&self) -> bool {
        match self {
            Self::End { age, .. } | Self::Sound { age, .. } => *age < MAX_STORED_AGE,
            Self::Refused { left, .. } => !left.is_zero(),
        }
    }

    /// The report as it reads some time later.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        match &mut self {
            Self::End { age, .. } | Self::Sound { age, .. } => *age = age.saturating_add(by),
            Self::Refused { ended, left, .. } => {
                *ended = ended.saturating_add(by);
                *left = left.saturating_sub(by);
            }
        }
        self
    }
}
