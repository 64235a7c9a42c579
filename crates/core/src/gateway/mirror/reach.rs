//! Whether a host's copy of the store's objects may answer for the store.

use crate::gateway::follow::FollowUpdate;

/// How a host reaches the store, for one kind of objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// It follows another host, has no list yet, or its calls fail one after the other.
    #[default]
    Lost,
    /// One call failed. The next one is made at once on a new connection, so those who follow this
    /// host are told of no failure before it has failed, too.
    InDoubt,
    /// The last call succeeded.
    Direct,
}

impl Reach {
    /// State after an update. `direct` tells whether the store itself was called, and `may_doubt` whether
    /// one failed call leaves doubt.
    #[must_use]
    pub fn after(self, update: &FollowUpdate, direct: bool, may_doubt: bool) -> Self {
        let failed = matches!(update, FollowUpdate::Failed { .. });
        match self {
            _ if !direct => Self::Lost,
            _ if !failed => Self::Direct,
            Self::Direct if may_doubt => Self::InDoubt,
            Self::Direct | Self::InDoubt | Self::Lost => Self::Lost,
        }
    }
}
