//! Reads the configuration from the platform and publishes new revisions.

use std::collections::BTreeMap;

use eelgrasshold_core::config::{
    Config, HEAD_KEY, Head, Publication, PublishInput, PublishOutcome, PublishOutput, join,
    shard_key,
};
use eelgrasshold_core::platform::{Call, Reply};
use eelgrasshold_core::types::Revision;
use snafu::Snafu;

use super::Platform;

/// Reads of an object that must fail before the platform counts as unavailable.
const MAX_ATTEMPTS: u32 = 5;

/// Error of [`read_config`].
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// No attempt to read an object was answered.
    #[snafu(display("the platform does not answer; try again when it is up"))]
    Unavailable,
    /// The stored objects are incomplete or can't be decoded.
    #[snafu(display("the configuration in the platform can't be used: {reason}"))]
    Damaged {
        /// Which object is at fault, and how.
        reason: String,
    },
}

/// Reads the published configuration, or an empty one of revision 0 if none was published.
///
/// # Errors
///
/// If the platform does not answer or its objects can't be used.
pub async fn read_config(platform: &Platform) -> Result<Config, ReadError> {
    let Some(head) = read(platform, HEAD_KEY).await? else {
        return Ok(Config::default());
    };
    let damaged = |reason: String| ReadError::Damaged { reason };
    let head = Head::from_bytes(&head).map_err(|e| damaged(e.to_string()))?;
    let mut shards = BTreeMap::new();
    for hash in &head.shards {
        let Some(content) = read(platform, &shard_key(hash)).await? else {
            return Err(damaged(format!("shard {hash} is missing")));
        };
        shards.insert(hash.clone(), content);
    }
    join(&head, &shards).map_err(|e| damaged(e.to_string()))
}

async fn read(platform: &Platform, key: &str) -> Result<Option<Vec<u8>>, ReadError> {
    for _ in 0..MAX_ATTEMPTS {
        match platform
            .call(&Call::Get {
                key: key.to_owned(),
            })
            .await
        {
            Reply::Object { value, .. } => return Ok(Some(value)),
            Reply::Missing => return Ok(None),
            _ => {}
        }
    }
    UnavailableSnafu.fail()
}

/// Publishes `next`, which was derived from `base`. `in_force` is the highest revision in force on
/// any host of the fleet.
pub async fn publish_config(
    platform: &Platform,
    base: Config,
    next: Config,
    in_force: Revision,
) -> PublishOutcome {
    let mut publication = Publication::new(base, next, rand::random());
    let mut outputs = publication.handle(PublishInput::Start(in_force));
    loop {
        let mut replies = Vec::new();
        for output in outputs {
            match output {
                PublishOutput::Done(outcome) => return outcome,
                PublishOutput::Platform { id, call } => {
                    let reply = platform.call(&call).await;
                    replies.push(PublishInput::Reply { id, reply });
                }
            }
        }
        if replies.is_empty() {
            return PublishOutcome::Unavailable { unknown: true };
        }
        outputs = replies
            .into_iter()
            .flat_map(|reply| publication.handle(reply))
            .collect();
    }
}
