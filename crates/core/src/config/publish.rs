//! Publishes a configuration: first the shards, then the head by a conditional update.
//!
//! The write of the head is the commit. If its reply is lost, the head is read back:
//! it contains the random number of the publication that wrote it, and the numbers of
//! the publications before.

use std::collections::BTreeMap;

use super::shard::{HEAD_KEY, Head, ShardHash, join, shard_key, split};
use super::{Config, Difference, diff};
use crate::platform::{Call, CallId, Condition, Reply, Version};
use crate::types::Revision;

/// Consecutive calls without a reply after which the publication ends.
const MAX_TRIES: u32 = 5;

/// Input of a [`Publication`].
#[derive(Clone, Debug)]
pub enum PublishInput {
    /// Starts the publication. Contains the highest revision in force in the fleet; 0 if unknown.
    Start(Revision),
    /// A call to the platform has ended.
    Reply {
        /// Id from [`PublishOutput::Platform`]; replies to other calls are ignored.
        id: CallId,
        /// Reply of the platform; [`Reply::Unavailable`] or [`Reply::Lost`] if the call failed.
        reply: Reply,
    },
}

/// Action that the driver of a [`Publication`] has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutput {
    /// Make this platform call.
    Platform {
        /// Id to be returned with the reply.
        id: CallId,
        /// Call to be made.
        call: Call,
    },
    /// The publication has ended; no further input has an effect.
    Done(PublishOutcome),
}

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishOutcome {
    /// The configuration was committed with this revision. Others may have published since.
    Accepted(Revision),
    /// Another publication has replaced the base; nothing was committed.
    Conflict {
        /// Revision of the configuration that is in the platform now.
        revision: Revision,
        /// Differences between the base and that configuration.
        changed: Vec<Difference>,
    },
    /// The platform doesn't answer.
    Unavailable {
        /// Whether the head may have been written although no reply arrived.
        unknown: bool,
    },
    /// The new configuration, or the one in the platform, can't be used. Contains the reason.
    Refused(String),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Idle,
    ReadHead,
    WriteShard(ShardHash),
    WriteHead,
    ReadBack,
    ReadOther(ShardHash),
    Done,
}

/// State machine of one publication, driven by [`Self::handle`]. At most one call is in flight at a
/// time.
#[derive(Clone, Debug)]
pub struct Publication {
    base: Config,
    next: Config,
    number: u64,
    fleet_revision: Revision,
    step: Step,
    call_id: CallId,
    tries: u32,
    head_write_uncertain: bool,
    base_version: Option<Version>,
    head: Head,
    shards: BTreeMap<ShardHash, Vec<u8>>,
    to_write: Vec<ShardHash>,
    current_head: Head,
    current_shards: BTreeMap<ShardHash, Vec<u8>>,
}

impl Publication {
    /// Creates a publication that replaces `base` by `next`. `number` is random and identifies this
    /// publication.
    #[must_use]
    pub fn new(base: Config, next: Config, number: u64) -> Self {
        Self {
            base,
            next,
            number,
            fleet_revision: 0,
            step: Step::Idle,
            call_id: 0,
            tries: 0,
            head_write_uncertain: false,
            base_version: None,
            head: Head::default(),
            shards: BTreeMap::new(),
            to_write: Vec::new(),
            current_head: Head::default(),
            current_shards: BTreeMap::new(),
        }
    }

    /// Processes an input and returns the resulting actions.
    pub fn handle(&mut self, input: PublishInput) -> Vec<PublishOutput> {
        match input {
            PublishInput::Start(revision) if self.step == Step::Idle => {
                self.fleet_revision = revision;
                self.send_call(Step::ReadHead)
            }
            PublishInput::Reply { id, reply } if id == self.call_id => self.replied(reply),
            _ => Vec::new(),
        }
    }

    fn replied(&mut self, reply: Reply) -> Vec<PublishOutput> {
        if matches!(reply, Reply::Unavailable | Reply::Lost) {
            return self.no_reply(&reply);
        }
        self.tries = 0;
        match (self.step.clone(), reply) {
            (Step::ReadHead, Reply::Object { version, value }) => self.read_head(version, &value),
            (Step::ReadHead, Reply::Missing) => self.prepare(None, &Head::default()),
            // An existing shard with this hash has the same content.
            (Step::WriteShard(_), Reply::Written { .. } | Reply::Conflict { .. }) => {
                self.write_next()
            }
            (Step::WriteHead, Reply::Written { .. }) => {
                self.finish(PublishOutcome::Accepted(self.head.revision))
            }
            (Step::WriteHead, Reply::Conflict { .. }) => self.send_call(Step::ReadBack),
            (Step::ReadBack, Reply::Object { value, .. }) => self.read_back(&value),
            (Step::ReadBack, Reply::Missing) => self.head_missing(),
            (Step::ReadOther(hash), Reply::Object { value, .. }) => {
                self.current_shards.insert(hash, value);
                self.read_current_shards()
            }
            (step, reply) => {
                let reason = format!(
                    "the platform answered {reply:?} while the publication was at {step:?}; run it again"
                );
                self.finish(PublishOutcome::Refused(reason))
            }
        }
    }

    fn no_reply(&mut self, reply: &Reply) -> Vec<PublishOutput> {
        if self.step == Step::WriteHead && *reply == Reply::Lost {
            self.head_write_uncertain = true;
        }
        self.tries += 1;
        if self.tries >= MAX_TRIES {
            let unknown = self.head_write_uncertain;
            return self.finish(PublishOutcome::Unavailable { unknown });
        }
        let next_step = match self.step.clone() {
            Step::WriteHead if self.head_write_uncertain => Step::ReadBack,
            step => step,
        };
        self.send_call(next_step)
    }

    fn read_head(&mut self, version: Version, value: &[u8]) -> Vec<PublishOutput> {
        match Head::from_bytes(value) {
            Ok(head) if head.revision == self.base.revision => self.prepare(Some(version), &head),
            Ok(head) => self.conflict(head),
            Err(error) => self.finish(PublishOutcome::Refused(error.to_string())),
        }
    }

    fn prepare(&mut self, version: Option<Version>, current: &Head) -> Vec<PublishOutput> {
        let highest = current
            .revision
            .max(self.fleet_revision)
            .max(self.base.revision);
        self.next.revision = highest + 1;
        self.base_version = version;
        let split = match split(&self.next).and_then(|s| join(&s.head, &s.shards).map(|_| s)) {
            Ok(split) => split,
            Err(error) => return self.finish(PublishOutcome::Refused(error.to_string())),
        };
        self.head = Head {
            publication: self.number,
            history: current.history_with_self(),
            ..split.head
        };
        let existing = &current.shards;
        let new = split.shards.keys().filter(|h| !existing.contains(h));
        self.to_write = new.cloned().collect();
        self.shards = split.shards;
        self.write_next()
    }

    fn write_next(&mut self) -> Vec<PublishOutput> {
        match self.to_write.pop() {
            Some(hash) => self.send_call(Step::WriteShard(hash)),
            None => self.send_call(Step::WriteHead),
        }
    }

    fn read_back(&mut self, value: &[u8]) -> Vec<PublishOutput> {
        let head = match Head::from_bytes(value) {
            Ok(head) => head,
            Err(error) => return self.finish(PublishOutcome::Refused(error.to_string())),
        };
        let is_committed = head.publication == self.number || head.history.contains(&self.number);
        if is_committed {
            return self.finish(PublishOutcome::Accepted(self.head.revision));
        }
        if head.revision == self.base.revision && self.head_write_uncertain {
            // The write without a reply has not taken effect so far. Repeating it under the same
            // condition is safe even if the first one takes effect later.
            return self.send_call(Step::WriteHead);
        }
        self.conflict(head)
    }

    fn head_missing(&mut self) -> Vec<PublishOutput> {
        if self.base_version.is_none() && self.head_write_uncertain {
            return self.send_call(Step::WriteHead);
        }
        let reason = "the head was deleted during the publication; run it again".to_owned();
        self.finish(PublishOutcome::Refused(reason))
    }

    fn conflict(&mut self, head: Head) -> Vec<PublishOutput> {
        self.current_head = head;
        self.read_current_shards()
    }

    fn read_current_shards(&mut self) -> Vec<PublishOutput> {
        let missing = |h: &&ShardHash| !self.current_shards.contains_key(*h);
        if let Some(hash) = self.current_head.shards.iter().find(missing) {
            return self.send_call(Step::ReadOther(hash.clone()));
        }
        match join(&self.current_head, &self.current_shards) {
            Ok(current_head) => self.finish(PublishOutcome::Conflict {
                revision: current_head.revision,
                changed: diff(&self.base, &current_head),
            }),
            Err(error) => self.finish(PublishOutcome::Refused(error.to_string())),
        }
    }

    fn finish(&mut self, outcome: PublishOutcome) -> Vec<PublishOutput> {
        self.step = Step::Done;
        vec![PublishOutput::Done(outcome)]
    }

    fn send_call(&mut self, step: Step) -> Vec<PublishOutput> {
        let call = match &step {
            Step::WriteShard(hash) => Call::Put {
                key: shard_key(hash),
                value: self.shards.get(hash).cloned().unwrap_or_default(),
                condition: Condition::Absent,
            },
            Step::WriteHead => match self.head.to_bytes() {
                Ok(value) => Call::Put {
                    key: HEAD_KEY.into(),
                    value,
                    condition: self
                        .base_version
                        .map_or(Condition::Absent, Condition::Version),
                },
                Err(error) => return self.finish(PublishOutcome::Refused(error.to_string())),
            },
            Step::ReadOther(hash) => Call::Get {
                key: shard_key(hash),
            },
            Step::Idle | Step::ReadHead | Step::ReadBack | Step::Done => Call::Get {
                key: HEAD_KEY.into(),
            },
        };
        self.step = step;
        self.call_id += 1;
        let id = self.call_id;
        vec![PublishOutput::Platform { id, call }]
    }
}
